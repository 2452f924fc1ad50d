import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { UpstreamReport } from "../ports/UpstreamReport.js";
import type { OrderSender } from "./OrderSender.js";

/** What a `MemberProber` is made of. */
interface MemberProberOptions {
    clock: Clock;
    orders: OrderSender;
}

/** Longest wait for a report, ms: an upstream answers within a few. */
const REPORT_TIMEOUT_MS = 250;
/** A second question follows the first after this time, ms, and covers a lost packet, which is sent again later. */
const SECOND_AFTER_MS = 100;

/** A member that says it works this many times as long holds its whole group up. */
const SLOW_FACTOR = 1.8;

/** What was found out about members, by their ids. */
interface MemberFindings {
    /** Why each lost member counts as lost. */
    lost: Map<string, string>;
    /** How many times as long each slow member works. */
    slow: Map<string, number>;
}

/** Asks the members of a group whether they still belong to it. */
export class MemberProber {
    private constructor(private readonly options: MemberProberOptions) {}

    /** Creates a prober. */
    static create(options: MemberProberOptions): MemberProber {
        return new MemberProber(options);
    }

    /**
     * Finds the members that are unreachable, no longer belong to the group, or hold it up. Without an epoch only
     * reachability counts: reports lag behind, so that those of a group that has just been formed may still show the one
     * before.
     */
    async examine(members: readonly Upstream[], epoch: number | undefined): Promise<MemberFindings> {
        const findings: MemberFindings = { lost: new Map(), slow: new Map() };
        await Promise.all(members.map(async member => {
            const report = await this.ask(member);
            const reason = lossReason(member, report, epoch);
            if (reason !== undefined) {
                findings.lost.set(member.id, reason);
            }
            else if (report.kind === "reported" && report.slowdown >= SLOW_FACTOR) {
                findings.slow.set(member.id, report.slowdown);
            }
        }));
        return findings;
    }

    /** Asks one upstream whether it answers in the life that is known of it. */
    async isAlive(upstream: Upstream): Promise<boolean> {
        const report = await this.ask(upstream);
        return report.kind === "reported" && report.startedAtMs === upstream.startedAtMs;
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

/** Why a member counts as lost; undefined: it does not. */
function lossReason(member: Upstream, report: UpstreamReport, epoch: number | undefined): string | undefined {
    if (report.kind === "unreachable") {
        return report.reason;
    }
    if (report.kind === "other-instance" || report.startedAtMs !== member.startedAtMs) {
        return "another instance answers";
    }
    return epoch !== undefined && report.group?.epoch !== epoch ? "belongs to another group or epoch" : undefined;
}
