import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { ManagedGroup } from "./ManagedGroup.js";
import type { MemberFailure } from "./MemberFailure.js";
import type { MemberProber } from "./MemberProber.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";

interface MemberCheckerOptions {
    clock: Clock;
    log: DecisionLog;
    prober: MemberProber;
    health: UpstreamHealth;
    /**
     * Returns false while a zone of the group seems to be partitioned, or if nothing was received from it since
     * `sinceMs`.
     */
    isReachable: (group: ManagedGroup, sinceMs: number) => boolean;
}

/** Minimum time between two checks of the members of one group. */
const CHECK_INTERVAL_MS = 400;

/** Checks whether members of groups are reachable, and records unresponsive and slow ones. */
export class MemberChecker {
    private constructor(private readonly options: MemberCheckerOptions) {}

    /** Creates a checker. */
    static create(options: MemberCheckerOptions): MemberChecker {
        return new MemberChecker(options);
    }

    /** Returns true if no check of the group is in progress and the last one ended at least `intervalMs` ago. */
    isCheckDue(group: ManagedGroup, intervalMs = CHECK_INTERVAL_MS): boolean {
        return !group.isChecking && this.options.clock.monotonicMs() - group.checkedAtMs >= intervalMs;
    }

    /** Checks members. Returns those that do not respond, have restarted or are not at `epoch`, by their ids. */
    async check(
        group: ManagedGroup,
        members: readonly Upstream[],
        epoch: number | undefined,
    ): Promise<Map<string, MemberFailure>> {
        const { clock, log, prober, health, isReachable } = this.options;
        group.isChecking = true;
        const checkStartedAtMs = clock.monotonicMs();
        const { failed, slow } = await prober.probe(members, epoch);
        group.isChecking = false;
        group.checkedAtMs = clock.monotonicMs();
        if (!isReachable(group, checkStartedAtMs)) {
            // A partition looks like the loss of all members behind it, until its gateways count as silent.
            return new Map();
        }
        for (const member of members) {
            const failure = failed.get(member.id);
            if (!failure) {
                health.markResponsive(member);
                continue;
            }
            const { reason } = failure;
            log.info("member check failed", { group: group.name, upstream: member.id, reason });
            if (!reason.startsWith("belongs")) {
                health.markUnresponsive(member);
            }
        }
        slow.forEach((factor, id) => {
            log.info("member is slow", { group: group.name, upstream: id, factor });
            health.markSlow(id);
        });
        return failed;
    }
}
