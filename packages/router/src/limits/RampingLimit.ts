import type { Clock } from "@fescuehaven/runtime";
import { rampOptions } from "./rampOptions.js";
import type { Upstream } from "./Upstream.js";

/**
 * The whole limit of one upstream over all routers, as this router may assume it. It starts cold, grows with calls that
 * this router itself saw completed, and falls on refusals, slow answers and resets. As no other router's word is used,
 * it never runs ahead of the work that the upstream has really done.
 */
export class RampingLimit {
    private identity = "";
    private limit = 0;
    private completedSinceStep = 0;
    private steppedUpMs = 0;
    private steppedDownMs = -Infinity;
    private completedMs = 0;
    private resetAtMs: number | undefined;
    private limitBeforeReset = 0;

    private constructor(private readonly clock: Clock) {}

    /** Creates the limit of an upstream that has not been seen yet. */
    static create(clock: Clock): RampingLimit {
        return new RampingLimit(clock);
    }

    /** The limit for the upstream as it is now. */
    current(upstream: Upstream): number {
        const nowMs = this.clock.monotonicMs();
        if (upstream.identity !== this.identity) {
            this.startCold(upstream, nowMs);
        }
        else if (nowMs - this.completedMs > rampOptions.idleMs) {
            this.startAfterIdle(upstream, nowMs);
        }
        return Math.max(1, Math.floor(Math.min(this.limit, upstream.warmLimit)));
    }

    /** Notes a completed call; `share` is the number of calls that this router may have in progress there. */
    completed(upstream: Upstream, share: number): void {
        const nowMs = this.clock.monotonicMs();
        this.completedMs = nowMs;
        this.completedSinceStep += 1;
        const isDue = nowMs - this.steppedUpMs >= rampOptions.stepMs;
        if (this.resetAtMs === undefined && isDue && this.completedSinceStep >= share) {
            this.limit = Math.min(upstream.warmLimit, Math.max(this.limit * rampOptions.growth, this.limit + 1));
            this.steppedUpMs = nowMs;
            this.completedSinceStep = 0;
        }
    }

    /** Notes that the upstream refused a call for load. */
    refused(): void {
        this.stepDown(rampOptions.refusalBackoff);
    }

    /** Notes that the upstream answers much more slowly than others. */
    slow(): void {
        this.stepDown(rampOptions.slowBackoff);
    }

    /** Notes that a connection was reset: the upstream may have restarted, so it counts as cold. */
    reset(upstream: Upstream): void {
        this.limitBeforeReset = Math.max(this.limitBeforeReset, this.limit);
        this.resetAtMs = this.clock.monotonicMs();
        this.limit = Math.min(this.limit, upstream.coldLimit);
    }

    /** Notes that the upstream was seen with its old identity at `observedAtMs`; settles a reset from before. */
    proven(upstream: Upstream, observedAtMs: number): void {
        if (this.resetAtMs !== undefined && observedAtMs > this.resetAtMs && upstream.identity === this.identity) {
            this.limit = Math.max(this.limit, this.limitBeforeReset);
            this.resetAtMs = undefined;
            this.limitBeforeReset = 0;
        }
    }

    private startCold(upstream: Upstream, nowMs: number): void {
        this.identity = upstream.identity;
        this.limit = upstream.coldLimit;
        this.resetAtMs = undefined;
        this.limitBeforeReset = 0;
        this.restart(nowMs);
    }

    private startAfterIdle(upstream: Upstream, nowMs: number): void {
        this.limit = Math.min(this.limit, Math.max(upstream.coldLimit, upstream.warmLimit * rampOptions.idleShare));
        this.restart(nowMs);
    }

    private restart(nowMs: number): void {
        this.completedSinceStep = 0;
        this.completedMs = nowMs;
        this.steppedUpMs = nowMs;
    }

    private stepDown(factor: number): void {
        const nowMs = this.clock.monotonicMs();
        if (nowMs - this.steppedDownMs < rampOptions.backoffMs) {
            return;
        }
        this.limit = Math.max(1, this.limit * factor);
        this.steppedDownMs = nowMs;
        this.steppedUpMs = nowMs;
        this.completedSinceStep = 0;
    }
}
