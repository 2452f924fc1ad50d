import type { Clock } from "@fescuehaven/runtime";
import { SlidingWindowCounter } from "../util/SlidingWindowCounter.js";

interface WeightLoadLimiterOptions {
    clock: Clock;
    windowMs: number;
    /** Returns true once requests have arrived. From then on, the rate of the weight store is enforced. */
    hasTraffic: () => boolean;
}

/** Share of the rate that is used. The weight store counts loads when they start, some time after the order. */
const USABLE_RATE_SHARE = 0.9;

/** Keeps the number of loads from the weight store below its rate limit. */
export class WeightLoadLimiter {
    private readonly started: SlidingWindowCounter;

    private constructor(private readonly options: WeightLoadLimiterOptions) {
        this.started = SlidingWindowCounter.create(options.clock, options.windowMs);
    }

    /** Creates a limiter that has counted no loads. */
    static create(options: WeightLoadLimiterOptions): WeightLoadLimiter {
        return new WeightLoadLimiter(options);
    }

    /** Counts `count` loads and returns true if they fit within the rate; returns false otherwise. */
    tryAcquire(count: number, weightLoadsPerSecond: number): boolean {
        const { windowMs, hasTraffic } = this.options;
        if (!hasTraffic()) {
            return true;
        }
        const allowed = USABLE_RATE_SHARE * weightLoadsPerSecond * windowMs / 1000;
        if (this.started.count + count > allowed) {
            return false;
        }
        this.started.record(count);
        return true;
    }
}
