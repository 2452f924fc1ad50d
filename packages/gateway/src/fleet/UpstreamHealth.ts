import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import { instanceKeyOf } from "./instanceKeyOf.js";
import type { MemberProber } from "./MemberProber.js";

interface UpstreamHealthOptions {
    clock: Clock;
    log: DecisionLog;
    upstreams: UpstreamDirectory;
    prober: MemberProber;
}

/** A slow upstream is not chosen for this time if there are others; slow phases last some seconds. */
const SLOW_RETENTION_MS = 6000;
/** An upstream that rejected a join is not chosen for this time: by then its registration shows a higher epoch. */
const REJECTION_RETENTION_MS = 3000;
/** Time between checks of an unresponsive upstream; network partitions last some seconds. */
const UNRESPONSIVE_RECHECK_MS = 2500;

/** Findings of the controller about upstreams that their registrations do not show. */
export class UpstreamHealth {
    /** Instances that did not respond, and when they were last checked, monotonic. */
    private readonly unresponsiveInstances = new Map<string, number>();
    /** When instances last rejected a join, monotonic. */
    private readonly rejectedAtMs = new Map<string, number>();
    private readonly slowAtMs = new Map<string, number>();
    private readonly quarantines = new Map<string, { untilMs: number; hasHeadLeft: () => boolean; }>();

    private constructor(private readonly options: UpstreamHealthOptions) {}

    /** Creates an instance without findings. */
    static create(options: UpstreamHealthOptions): UpstreamHealth {
        return new UpstreamHealth(options);
    }

    /** Records that this instance of an upstream did not respond. */
    markUnresponsive(upstream: Upstream): void {
        this.unresponsiveInstances.set(instanceKeyOf(upstream), this.options.clock.monotonicMs());
    }

    /** Records that this instance of an upstream responds. */
    markResponsive(upstream: Upstream): void {
        if (this.unresponsiveInstances.delete(instanceKeyOf(upstream))) {
            this.options.log.info("upstream responds again", { upstream: upstream.id });
        }
    }

    /**
     * Returns true if the process of this instance has ended, because another one has registered since. That it refuses
     * connections does not show it: one that shuts down does so while it still has work.
     */
    hasEnded({ id, startedAtMs }: Upstream): boolean {
        return (this.options.upstreams.get(id)?.startedAtMs ?? -Infinity) > startedAtMs;
    }

    /** Records that this instance rejected a join. */
    markRejecting(upstream: Upstream): void {
        this.rejectedAtMs.set(instanceKeyOf(upstream), this.options.clock.monotonicMs());
    }

    /** Returns true if this instance rejected a join recently. */
    isRejecting(upstream: Upstream): boolean {
        const rejectedAtMs = this.rejectedAtMs.get(instanceKeyOf(upstream)) ?? -Infinity;
        return this.options.clock.monotonicMs() - rejectedAtMs < REJECTION_RETENTION_MS;
    }

    /** Records that the upstream reported that it is slow. */
    markSlow(id: string): void {
        this.slowAtMs.set(id, this.options.clock.monotonicMs());
    }

    /**
     * Keeps an upstream from joining another group until `untilMs`, or until the head of its group is known to have
     * left.
     */
    quarantine(upstream: Upstream, untilMs: number, hasHeadLeft: () => boolean): void {
        this.quarantines.set(instanceKeyOf(upstream), { untilMs, hasHeadLeft });
    }

    /** Returns true if a quarantine of this instance was ever recorded, whether or not it has ended. */
    hasQuarantine(upstream: Upstream): boolean {
        return this.quarantines.has(instanceKeyOf(upstream));
    }

    /** Returns true if the upstream must not join another group yet. */
    isQuarantined(upstream: Upstream): boolean {
        const quarantine = this.quarantines.get(instanceKeyOf(upstream));
        return quarantine !== undefined && quarantine.untilMs > this.options.clock.monotonicMs()
            && !quarantine.hasHeadLeft();
    }

    /** Returns true if the upstream was slow recently. */
    isSlow(id: string): boolean {
        return this.options.clock.monotonicMs() - (this.slowAtMs.get(id) ?? -Infinity) < SLOW_RETENTION_MS;
    }

    /** Returns true if the chosen instance is still registered, is not draining and is not known to be unresponsive. */
    isUsable(chosen: Upstream): boolean {
        const current = this.options.upstreams.get(chosen.id);
        if (!current || current.startedAtMs !== chosen.startedAtMs || current.state !== "ready") {
            return false;
        }
        const checkedAtMs = this.unresponsiveInstances.get(instanceKeyOf(chosen));
        if (checkedAtMs === undefined) {
            return true;
        }
        this.recheck(chosen, checkedAtMs);
        return false;
    }

    /** Deletes all findings. */
    clear(): void {
        this.unresponsiveInstances.clear();
        this.rejectedAtMs.clear();
        this.slowAtMs.clear();
        this.quarantines.clear();
    }

    /** Checks an unresponsive upstream again that is still registered, unless it was checked recently. */
    private recheck(upstream: Upstream, checkedAtMs: number): void {
        const { clock, prober } = this.options;
        const instanceKey = instanceKeyOf(upstream);
        if (clock.monotonicMs() - checkedAtMs < UNRESPONSIVE_RECHECK_MS) {
            return;
        }
        this.unresponsiveInstances.set(instanceKey, clock.monotonicMs());
        void prober.isAlive(upstream).then(isAlive => {
            if (isAlive) {
                this.markResponsive(upstream);
            }
        });
    }
}
