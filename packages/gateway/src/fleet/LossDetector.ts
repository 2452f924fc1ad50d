import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { OrderSender } from "./OrderSender.js";

/** What a `LossDetector` is made of. */
interface LossDetectorOptions {
    clock: Clock;
    orders: OrderSender;
}

/** Waits for a report, ms. The second one covers a lost packet, which TCP sends again after some 200 ms. */
const FIRST_TIMEOUT_MS = 150;
const SECOND_TIMEOUT_MS = 300;

/** Asks the members of a group whether they still belong to it. */
export class LossDetector {
    private constructor(private readonly options: LossDetectorOptions) {}

    /** Creates a detector. */
    static create(options: LossDetectorOptions): LossDetector {
        return new LossDetector(options);
    }

    /**
     * Finds the members that are unreachable or no longer belong to the group. Without an epoch only reachability
     * counts: reports lag behind, so that those of a group that has just been formed may still show the one before.
     */
    async findLost(members: readonly Upstream[], epoch: number | undefined): Promise<Map<string, string>> {
        const lost = new Map<string, string>();
        await Promise.all(members.map(async member => {
            const reason = await this.checkMember(member, epoch);
            if (reason !== undefined) {
                lost.set(member.id, reason);
            }
        }));
        return lost;
    }

    /** Asks one upstream whether it answers in the life that is known of it. */
    async isAlive(upstream: Upstream): Promise<boolean> {
        const { orders } = this.options;
        let report = await orders.report(upstream, FIRST_TIMEOUT_MS);
        if (report.kind === "unreachable") {
            report = await orders.report(upstream, SECOND_TIMEOUT_MS);
        }
        return report.kind === "reported" && report.bornMs === upstream.bornMs;
    }

    private async checkMember(member: Upstream, epoch: number | undefined): Promise<string | undefined> {
        const { orders } = this.options;
        let report = await orders.report(member, FIRST_TIMEOUT_MS);
        if (report.kind === "unreachable") {
            report = await orders.report(member, SECOND_TIMEOUT_MS);
        }
        if (report.kind === "unreachable") {
            return report.reason;
        }
        if (report.kind === "other-instance" || report.bornMs !== member.bornMs) {
            return "another instance answers";
        }
        if (epoch !== undefined && report.group?.epoch !== epoch) {
            return "belongs to another group or epoch";
        }
        return undefined;
    }
}
