import type { Clock } from "@fescuehaven/runtime";

interface PauseDetectorOptions {
    clock: Clock;
    /** A gap longer than this counts as a pause. */
    thresholdMs: number;
}

/**
 * Detects that this process did not run for a while, from the time since its last tick, or that its machine was
 * suspended, from the wall clock having advanced further than the monotonic clock, which may stop in the meantime.
 */
export class PauseDetector {
    private lastMonotonicMs: number;
    private lastWallMs: number;

    private constructor(private readonly options: PauseDetectorOptions) {
        this.lastMonotonicMs = options.clock.monotonicMs();
        this.lastWallMs = options.clock.now().getTime();
    }

    /** Creates the detector; its creation counts as the first tick. */
    static create(options: PauseDetectorOptions): PauseDetector {
        return new PauseDetector(options);
    }

    /** Returns how long the process was paused since the last tick; 0 if it was not. */
    pausedMs(): number {
        const monotonicGapMs = this.options.clock.monotonicMs() - this.lastMonotonicMs;
        const wallGapMs = this.options.clock.now().getTime() - this.lastWallMs;
        const suspendedMs = wallGapMs - monotonicGapMs;
        const gapMs = Math.max(monotonicGapMs, suspendedMs);
        return gapMs > this.options.thresholdMs ? gapMs : 0;
    }

    /** Records that the process is running now. */
    tick(): void {
        this.lastMonotonicMs = this.options.clock.monotonicMs();
        this.lastWallMs = this.options.clock.now().getTime();
    }
}
