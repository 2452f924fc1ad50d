import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { Formation } from "./Formation.js";
import type { LossDetector } from "./LossDetector.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";

/** What a `MemberCheck` is made of. */
interface MemberCheckOptions {
    clock: Clock;
    log: DecisionLog;
    detector: LossDetector;
    health: UpstreamHealth;
    /** False while the group's zones seem to be cut off, or have not been heard since a time. */
    isInSight: (formation: Formation, sinceMs: number) => boolean;
}

/** Asks members of groups whether they are there, and keeps what they say of themselves. */
export class MemberCheck {
    private constructor(private readonly options: MemberCheckOptions) {}

    /** Creates the check. */
    static create(options: MemberCheckOptions): MemberCheck {
        return new MemberCheck(options);
    }

    /** True if nobody is being asked and the last answers are `pauseMs` old. */
    mayAsk(formation: Formation, pauseMs: number): boolean {
        return !formation.isChecking && this.options.clock.monotonicMs() - formation.checkedAtMs >= pauseMs;
    }

    /** Asks members; gives the ids of those that do not answer or are elsewhere than at `epoch`. */
    async ask(formation: Formation, members: readonly Upstream[], epoch: number | undefined): Promise<Set<string>> {
        const { clock, log, detector, health, isInSight } = this.options;
        formation.isChecking = true;
        const askedAtMs = clock.monotonicMs();
        const { lost, slow } = await detector.examine(members, epoch);
        formation.isChecking = false;
        formation.checkedAtMs = clock.monotonicMs();
        if (!isInSight(formation, askedAtMs)) {
            // A cut looks like the loss of everything behind it, until its gateways count as silent.
            return new Set();
        }
        for (const member of members) {
            const reason = lost.get(member.id);
            if (reason !== undefined) {
                log.info("member lost", { group: formation.name, upstream: member.id, reason });
                if (!reason.startsWith("belongs")) {
                    health.markLost(member);
                }
            }
        }
        slow.forEach((factor, id) => {
            log.info("member slow", { group: formation.name, upstream: id, factor });
            health.markSlow(id);
        });
        return new Set(lost.keys());
    }
}
