import type { Clock } from "@fescuehaven/runtime";

/** What a `LoadThrottle` is made of. */
interface LoadThrottleOptions {
    clock: Clock;
    windowMs: number;
    /** True once requests arrive: from then on the weight store's rate binds. */
    hasTraffic: () => boolean;
}

/** Part of the rate that is used: loads are counted where they begin, some time after the order. */
const USED_PART = 0.9;

/** Keeps loads from the weight store under its rate. */
export class LoadThrottle {
    private startedAtMs: number[] = [];

    private constructor(private readonly options: LoadThrottleOptions) {}

    /** Creates a throttle without history. */
    static create(options: LoadThrottleOptions): LoadThrottle {
        return new LoadThrottle(options);
    }

    /** Takes `count` loads if they fit under the rate. */
    tryTake(count: number, loadsPerSecond: number): boolean {
        const { clock, windowMs, hasTraffic } = this.options;
        const nowMs = clock.monotonicMs();
        this.startedAtMs = this.startedAtMs.filter(atMs => nowMs - atMs < windowMs);
        const allowed = USED_PART * loadsPerSecond * windowMs / 1000;
        if (hasTraffic() && this.startedAtMs.length + count > allowed) {
            return false;
        }
        if (hasTraffic()) {
            this.startedAtMs.push(...Array.from({ length: count }, () => nowMs));
        }
        return true;
    }
}
