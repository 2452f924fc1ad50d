import type { Clock } from "@fescuehaven/runtime";
import { SlidingWindowCounter } from "../util/SlidingWindowCounter.js";

/** What a `WeightLoadLimiter` is made of. */
interface WeightLoadLimiterOptions {
    clock: Clock;
    windowMs: number;
    /** True once requests arrive: from then on the weight store's rate binds. */
    hasTraffic: () => boolean;
}

/** Part of the rate that is used: loads are counted where they begin, some time after the order. */
const USED_PART = 0.9;

/** Keeps loads from the weight store under its rate. */
export class WeightLoadLimiter {
    private readonly started: SlidingWindowCounter;

    private constructor(private readonly options: WeightLoadLimiterOptions) {
        this.started = SlidingWindowCounter.create(options.clock, options.windowMs);
    }

    /** Creates a limiter without history. */
    static create(options: WeightLoadLimiterOptions): WeightLoadLimiter {
        return new WeightLoadLimiter(options);
    }

    /** Takes `count` loads if they fit under the rate. */
    tryAcquire(count: number, weightLoadsPerSecond: number): boolean {
        const { windowMs, hasTraffic } = this.options;
        if (!hasTraffic()) {
            return true;
        }
        const allowed = USED_PART * weightLoadsPerSecond * windowMs / 1000;
        if (this.started.count + count > allowed) {
            return false;
        }
        this.started.record(count);
        return true;
    }
}
