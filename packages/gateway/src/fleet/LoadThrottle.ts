import type { Clock } from "@fescuehaven/runtime";
import { RecentTimes } from "../util/RecentTimes.js";

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
    private readonly started: RecentTimes;

    private constructor(private readonly options: LoadThrottleOptions) {
        this.started = RecentTimes.create(options.clock, options.windowMs);
    }

    /** Creates a throttle without history. */
    static create(options: LoadThrottleOptions): LoadThrottle {
        return new LoadThrottle(options);
    }

    /** Takes `count` loads if they fit under the rate. */
    tryTake(count: number, loadsPerSecond: number): boolean {
        const { windowMs, hasTraffic } = this.options;
        if (!hasTraffic()) {
            return true;
        }
        const allowed = USED_PART * loadsPerSecond * windowMs / 1000;
        if (this.started.count + count > allowed) {
            return false;
        }
        this.started.note(count);
        return true;
    }
}
