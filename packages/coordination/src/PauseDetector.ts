import type { Clock } from "@fescuehaven/runtime";

/** Options of `PauseDetector`. */
interface PauseDetectorOptions {
    clock: Clock;
    /** A gap longer than this counts as a pause, ms. */
    boundMs: number;
}

/**
 * Notices that this process did not run for a while, by the time since its last tick; or that its machine did not, by
 * the wall clock having gone further than the monotonic one, which may stand still meanwhile.
 */
export class PauseDetector {
    private lastMonotonicMs: number;
    private lastWallMs: number;

    private constructor(private readonly options: PauseDetectorOptions) {
        this.lastMonotonicMs = options.clock.monotonicMs();
        this.lastWallMs = options.clock.now().getTime();
    }

    /** Creates the detector; the present counts as the first tick. */
    static create(options: PauseDetectorOptions): PauseDetector {
        return new PauseDetector(options);
    }

    /** How long the process was paused since the last tick, ms; 0 when it was not. */
    pausedMs(): number {
        const monotonicGapMs = this.options.clock.monotonicMs() - this.lastMonotonicMs;
        const wallGapMs = this.options.clock.now().getTime() - this.lastWallMs;
        const stoodStillMs = wallGapMs - monotonicGapMs;
        const gapMs = Math.max(monotonicGapMs, stoodStillMs);
        return gapMs > this.options.boundMs ? gapMs : 0;
    }

    /** Says that the process runs now. */
    tick(): void {
        this.lastMonotonicMs = this.options.clock.monotonicMs();
        this.lastWallMs = this.options.clock.now().getTime();
    }
}
