import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { ManagedGroup } from "./ManagedGroup.js";
import type { MemberProber } from "./MemberProber.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";

/** What a `MemberCheck` is made of. */
interface MemberCheckOptions {
    clock: Clock;
    log: DecisionLog;
    prober: MemberProber;
    health: UpstreamHealth;
    /** False while the group's zones seem to be cut off, or have not been heard since a time. */
    isReachable: (group: ManagedGroup, sinceMs: number) => boolean;
}

/** Asks members of groups whether they are there, and keeps what they say of themselves. */
export class MemberCheck {
    private constructor(private readonly options: MemberCheckOptions) {}

    /** Creates the check. */
    static create(options: MemberCheckOptions): MemberCheck {
        return new MemberCheck(options);
    }

    /** True if nobody is being asked and the last answers are `pauseMs` old. */
    mayAsk(group: ManagedGroup, pauseMs: number): boolean {
        return !group.isChecking && this.options.clock.monotonicMs() - group.checkedAtMs >= pauseMs;
    }

    /** Asks members; gives the ids of those that do not answer or are elsewhere than at `epoch`. */
    async ask(group: ManagedGroup, members: readonly Upstream[], epoch: number | undefined): Promise<Set<string>> {
        const { clock, log, prober, health, isReachable } = this.options;
        group.isChecking = true;
        const askedAtMs = clock.monotonicMs();
        const { lost, slow } = await prober.examine(members, epoch);
        group.isChecking = false;
        group.checkedAtMs = clock.monotonicMs();
        if (!isReachable(group, askedAtMs)) {
            // A cut looks like the loss of everything behind it, until its gateways count as silent.
            return new Set();
        }
        for (const member of members) {
            const reason = lost.get(member.id);
            if (reason !== undefined) {
                log.info("member lost", { group: group.name, upstream: member.id, reason });
                if (!reason.startsWith("belongs")) {
                    health.markLost(member);
                }
            }
        }
        slow.forEach((factor, id) => {
            log.info("member slow", { group: group.name, upstream: id, factor });
            health.markSlow(id);
        });
        return new Set(lost.keys());
    }
}
