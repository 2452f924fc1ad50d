import type { DemandFigures } from "./DemandFigures.js";

/** Share of late first events above which a pool that is nearly full has taken too many requests. */
const MAX_LATE_SHARE = 0.1;
/** Share of late first events below which a pool that refuses requests could have taken more. */
const MIN_LATE_SHARE = 0.03;
/** Share of a pool's slots in use from which its groups are nearly full. */
const NEARLY_FULL = 0.8;
/** Share of refused requests from which what was admitted was limited by refusals. */
const LIMITED_SHARE = 0.01;
/** Change against what was admitted, for each second with too many late first events or with too few. */
const DECREASE = 0.92;
const INCREASE = 1.08;
/** Weight of the newest second: single seconds vary by several percent, and the next figures come in a second. */
const WEIGHT = 0.4;
/** Weight of the estimate by profile while nothing limits the pool. */
const RETURN_WEIGHT = 0.05;
/** Bounds of the correction: requests may be several times longer or shorter than the typical one. */
const MIN_FACTOR = 0.4;
const MAX_FACTOR = 2.5;

/**
 * Corrects the estimated capacity of a pool by what was seen. It follows what the fleet admitted, which all gateways know,
 * so that gateways that have started at different times agree after a few seconds.
 */
export class CapacityCorrection {
    private current = 1;

    private constructor() {}

    /** Creates a correction that trusts the estimate. */
    static create(): CapacityCorrection {
        return new CapacityCorrection();
    }

    /** Factor on the estimated capacity. */
    get factor(): number {
        return this.current;
    }

    /** Takes in the figures of one second, in which the estimate was `estimatePerSecond`. */
    update(figures: DemandFigures, estimatePerSecond: number, usedSlotShare: number): void {
        const { offeredPerSecond, admittedPerSecond, refusedPerSecond, latePerSecond } = figures;
        if (admittedPerSecond === 0 || estimatePerSecond === 0) {
            return;
        }
        const lateShare = latePerSecond / admittedPerSecond;
        const seen = admittedPerSecond / estimatePerSecond;
        const isLimited = refusedPerSecond > LIMITED_SHARE * offeredPerSecond;
        if (lateShare > MAX_LATE_SHARE && usedSlotShare >= NEARLY_FULL) {
            this.approach(Math.min(this.current, seen * DECREASE), WEIGHT);
        }
        else if (isLimited && lateShare < MIN_LATE_SHARE) {
            this.approach(Math.max(this.current, seen * INCREASE), WEIGHT);
        }
        else if (isLimited) {
            this.approach(seen, WEIGHT);
        }
        else {
            this.approach(1, RETURN_WEIGHT);
        }
    }

    private approach(target: number, weight: number): void {
        const factor = this.current + weight * (target - this.current);
        this.current = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
    }
}
