import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { UpstreamReport } from "../ports/UpstreamReport.js";
import type { OrderSender } from "./OrderSender.js";

/** What a `LossDetector` is made of. */
interface LossDetectorOptions {
    clock: Clock;
    orders: OrderSender;
}

/** Longest wait for a report, ms: an upstream answers within a few. */
const REPORT_TIMEOUT_MS = 250;
/** A second question follows the first after this time, ms, and covers a lost packet, which is sent again later. */
const SECOND_AFTER_MS = 100;

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
        const report = await this.ask(upstream);
        return report.kind === "reported" && report.bornMs === upstream.bornMs;
    }

    private async checkMember(member: Upstream, epoch: number | undefined): Promise<string | undefined> {
        const report = await this.ask(member);
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

    /** Asks twice, the second time a little later; unreachable only if neither question is answered. */
    private async ask(upstream: Upstream): Promise<UpstreamReport> {
        const { clock, orders } = this.options;
        let firstReport: UpstreamReport | undefined;
        const first = orders.report(upstream, REPORT_TIMEOUT_MS).then(report => {
            firstReport = report;
            return report;
        });
        const second = clock.sleep(SECOND_AFTER_MS).then(() =>
            firstReport?.kind === "reported" ? firstReport : orders.report(upstream, REPORT_TIMEOUT_MS)
        );
        const early = await Promise.race([first, second]);
        if (early.kind !== "unreachable") {
            return early;
        }
        const [one, other] = await Promise.all([first, second]);
        return other.kind === "unreachable" ? one : other;
    }
}
