import type { Clock } from "@fescuehaven/runtime";
import { rampOptions } from "./rampOptions.js";
import type { Upstream } from "./Upstream.js";

/**
 * This router's estimate of the total limit of one upstream, over all routers. It starts cold, grows with calls that
 * this router itself completed, and falls on refusals, slow responses and resets. As it uses no reports of other
 * routers, it never grows faster than the work that the upstream has actually done.
 */
export class RampingLimit {
    private identity = "";
    private limit = 0;
    private completedSinceStep = 0;
    private lastStepUpMs = 0;
    private lastStepDownMs = -Infinity;
    private lastCompletedMs = 0;
    private resetAtMs: number | undefined;
    private limitBeforeReset = 0;

    private constructor(private readonly clock: Clock) {}

    /** Creates the limit of an upstream that has not been used yet. */
    static create(clock: Clock): RampingLimit {
        return new RampingLimit(clock);
    }

    /** Returns the current total limit, at least 1; it restarts when the upstream's identity changed or it was idle. */
    current(upstream: Upstream): number {
        const nowMs = this.clock.monotonicMs();
        if (upstream.identity !== this.identity) {
            this.startCold(upstream, nowMs);
        }
        else if (nowMs - this.lastCompletedMs > rampOptions.idleAfterMs) {
            this.startAfterIdle(upstream, nowMs);
        }
        return Math.max(1, Math.floor(Math.min(this.limit, upstream.warmLimit)));
    }

    /** Records a completed call; `share` is the number of calls that this router may have in progress there. */
    recordCompletion(upstream: Upstream, share: number): void {
        const nowMs = this.clock.monotonicMs();
        this.lastCompletedMs = nowMs;
        this.completedSinceStep += 1;
        const isDue = nowMs - this.lastStepUpMs >= rampOptions.minStepUpIntervalMs;
        if (this.resetAtMs === undefined && isDue && this.completedSinceStep >= share) {
            this.limit = Math.min(upstream.warmLimit, Math.max(this.limit * rampOptions.stepUpFactor, this.limit + 1));
            this.lastStepUpMs = nowMs;
            this.completedSinceStep = 0;
        }
    }

    /** Records that the upstream refused a call because it was overloaded. */
    recordRefusal(): void {
        this.stepDown(rampOptions.refusalStepDownFactor);
    }

    /** Records that the upstream responds much more slowly than others. */
    recordSlowness(): void {
        this.stepDown(rampOptions.slownessStepDownFactor);
    }

    /** Records a connection reset: the upstream may have restarted, so it counts as cold. */
    recordReset(upstream: Upstream): void {
        this.limitBeforeReset = Math.max(this.limitBeforeReset, this.limit);
        this.resetAtMs = this.clock.monotonicMs();
        this.limit = Math.min(this.limit, upstream.coldLimit);
    }

    /** Records that the upstream was observed with its identity at `observedAtMs`; undoes an earlier reset. */
    recordObservation(upstream: Upstream, observedAtMs: number): void {
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
        this.restartRamp(nowMs);
    }

    private startAfterIdle(upstream: Upstream, nowMs: number): void {
        this.limit = Math.min(
            this.limit,
            Math.max(upstream.coldLimit, upstream.warmLimit * rampOptions.idleStartFraction),
        );
        this.restartRamp(nowMs);
    }

    private restartRamp(nowMs: number): void {
        this.completedSinceStep = 0;
        this.lastCompletedMs = nowMs;
        this.lastStepUpMs = nowMs;
    }

    private stepDown(factor: number): void {
        const nowMs = this.clock.monotonicMs();
        if (nowMs - this.lastStepDownMs < rampOptions.minStepDownIntervalMs) {
            return;
        }
        this.limit = Math.max(1, this.limit * factor);
        this.lastStepDownMs = nowMs;
        this.lastStepUpMs = nowMs;
        this.completedSinceStep = 0;
    }
}
