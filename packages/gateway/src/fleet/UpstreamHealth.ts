import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import { instanceKeyOf } from "./instanceKeyOf.js";
import type { MemberProber } from "./MemberProber.js";

/** What an `UpstreamHealth` is made of. */
interface UpstreamHealthOptions {
    clock: Clock;
    log: DecisionLog;
    upstreams: UpstreamDirectory;
    prober: MemberProber;
}

/** An upstream that was slow is not chosen while there are others, ms; slow spells last some seconds. */
const SLOW_REMEMBERED_MS = 6000;
/** A lost upstream is asked again after this time, ms: cuts last some seconds. */
const LOST_RECHECK_MS = 2500;

/** What the controller has found out about upstreams beyond their entries. */
export class UpstreamHealth {
    /** Lives that did not answer, and when they were asked last, monotonic ms. */
    private readonly lostInstances = new Map<string, number>();
    private readonly slowSinceMs = new Map<string, number>();
    private readonly quarantines = new Map<string, { untilMs: number; hasHeadLeft: () => boolean; }>();

    private constructor(private readonly options: UpstreamHealthOptions) {}

    /** Creates it without findings. */
    static create(options: UpstreamHealthOptions): UpstreamHealth {
        return new UpstreamHealth(options);
    }

    /** The upstream did not answer in this life. */
    markLost(upstream: Upstream): void {
        this.lostInstances.set(instanceKeyOf(upstream), this.options.clock.monotonicMs());
    }

    /** The upstream said that it works slowly. */
    markSlow(id: string): void {
        this.slowSinceMs.set(id, this.options.clock.monotonicMs());
    }

    /** The upstream may not change groups before a time, or until the head of its group is known to have left. */
    quarantine(upstream: Upstream, untilMs: number, hasHeadLeft: () => boolean): void {
        this.quarantines.set(instanceKeyOf(upstream), { untilMs, hasHeadLeft });
    }

    /** True if the upstream may not change groups yet. */
    isQuarantined(upstream: Upstream): boolean {
        const quarantine = this.quarantines.get(instanceKeyOf(upstream));
        return quarantine !== undefined && quarantine.untilMs > this.options.clock.monotonicMs()
            && !quarantine.hasHeadLeft();
    }

    /** True if the upstream was slow lately. */
    isSlow(id: string): boolean {
        return this.options.clock.monotonicMs() - (this.slowSinceMs.get(id) ?? -Infinity) < SLOW_REMEMBERED_MS;
    }

    /** True if the upstream is registered in the life that was chosen, stays and answers. */
    isUsable(chosen: Upstream): boolean {
        const current = this.options.upstreams.get(chosen.id);
        if (!current || current.startedAtMs !== chosen.startedAtMs || current.state !== "ready") {
            return false;
        }
        const lostAtMs = this.lostInstances.get(instanceKeyOf(chosen));
        if (lostAtMs === undefined) {
            return true;
        }
        this.recheck(chosen, lostAtMs);
        return false;
    }

    /** Forgets all findings. */
    clear(): void {
        this.lostInstances.clear();
        this.slowSinceMs.clear();
        this.quarantines.clear();
    }

    /** Asks a lost upstream again that is still registered. */
    private recheck(upstream: Upstream, lostAtMs: number): void {
        const { clock, prober, log } = this.options;
        const instanceKey = instanceKeyOf(upstream);
        if (clock.monotonicMs() - lostAtMs < LOST_RECHECK_MS) {
            return;
        }
        this.lostInstances.set(instanceKey, clock.monotonicMs());
        void prober.isAlive(upstream).then(isAlive => {
            if (isAlive) {
                log.info("upstream answers again", { upstream: upstream.id });
                this.lostInstances.delete(instanceKey);
            }
        });
    }
}
