import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { UpstreamReport } from "../ports/UpstreamReport.js";
import type { MemberFailure } from "./MemberFailure.js";
import type { OrderSender } from "./OrderSender.js";

interface MemberProberOptions {
    clock: Clock;
    orders: OrderSender;
}

/** Upstreams usually respond within a few milliseconds. */
const REPORT_TIMEOUT_MS = 250;
/** Delay before a second request, which covers a lost packet of the first one, whose retransmission takes longer. */
const SECOND_REQUEST_DELAY_MS = 100;

/** A member that reports at least this slowdown factor slows down its whole group. */
const SLOW_FACTOR = 1.8;

/** Findings about members, by their ids. */
interface MemberFindings {
    /** Members that failed the check. */
    failed: Map<string, MemberFailure>;
    /** Slowdown factor of each slow member. */
    slow: Map<string, number>;
}

/** Requests reports from members to find out whether they still belong to their group. */
export class MemberProber {
    private constructor(private readonly options: MemberProberOptions) {}

    /** Creates a prober. */
    static create(options: MemberProberOptions): MemberProber {
        return new MemberProber(options);
    }

    /**
     * Finds the members that are unreachable, no longer belong to the group, or slow it down. Without an epoch only
     * reachability is checked: reports lag behind, so the members of a group that has just been formed may still report
     * their previous one.
     */
    async probe(members: readonly Upstream[], epoch: number | undefined): Promise<MemberFindings> {
        const findings: MemberFindings = { failed: new Map(), slow: new Map() };
        await Promise.all(members.map(async member => {
            const report = await this.requestReport(member);
            const failure = failureOf(member, report, epoch);
            if (failure) {
                findings.failed.set(member.id, failure);
            }
            else if (report.kind === "reported" && report.slowdown >= SLOW_FACTOR) {
                findings.slow.set(member.id, report.slowdown);
            }
        }));
        return findings;
    }

    /** Returns true if the upstream responds and has not restarted since `upstream` was registered. */
    async isAlive(upstream: Upstream): Promise<boolean> {
        const report = await this.requestReport(upstream);
        return report.kind === "reported" && report.startedAtMs === upstream.startedAtMs;
    }

    /** Sends up to two requests, the second with a delay. The upstream is unreachable only if both fail. */
    private async requestReport(upstream: Upstream): Promise<UpstreamReport> {
        const { clock, orders } = this.options;
        let firstReport: UpstreamReport | undefined;
        const first = orders.fetchReport(upstream, REPORT_TIMEOUT_MS).then(report => {
            firstReport = report;
            return report;
        });
        const second = clock.sleep(SECOND_REQUEST_DELAY_MS).then(() =>
            firstReport?.kind === "reported" ? firstReport : orders.fetchReport(upstream, REPORT_TIMEOUT_MS)
        );
        const earliest = await Promise.race([first, second]);
        if (earliest.kind !== "unreachable") {
            return earliest;
        }
        const [one, other] = await Promise.all([first, second]);
        return other.kind === "unreachable" && !other.isRefused ? one : other;
    }
}

/** Returns how a member failed the check, or undefined if it passed. */
function failureOf(member: Upstream, report: UpstreamReport, epoch: number | undefined): MemberFailure | undefined {
    if (report.kind === "unreachable") {
        return { reason: report.reason, kind: report.isRefused ? "refused" : "silent" };
    }
    if (report.kind === "other-instance" || report.startedAtMs !== member.startedAtMs) {
        return { reason: "another instance responds", kind: "replaced" };
    }
    return epoch !== undefined && report.group?.epoch !== epoch
        ? { reason: "belongs to another group or epoch", kind: "replaced" }
        : undefined;
}
