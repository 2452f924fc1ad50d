import type { DemandFigures } from "./DemandFigures.js";

/** State of a pool's open groups, and what the engine profile says of it. */
interface PoolLoad {
    /** Rate of streams that the groups can start at most. */
    capacityPerSecond: number;
    /** Rate of streams that start and end at the groups with as many as they hold now. */
    ratePerSecond: number;
    /** Share of the groups' slots in use. */
    usedSlotShare: number;
}

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
/** The same while nothing is refused: the rate of single seconds and the load at one moment differ more. */
const UNLIMITED_WEIGHT = 0.15;
/** Bounds of the correction: requests may be several times longer or shorter than the typical one. */
const MIN_FACTOR = 0.4;
const MAX_FACTOR = 2.5;

/**
 * Corrects the estimated capacity of a pool by what was seen. While groups have free slots, the rate of streams and their
 * number tell how long streams last, compared with the profile. Near the limit, late first events and refusals tell. Both
 * follow what the fleet admitted, which all gateways know, so that gateways that have started at different times agree
 * after a few seconds.
 */
export class CapacityCorrection {
    private current = 1;
    private isEstimated = true;

    private constructor() {}

    /** Creates a correction that trusts the estimate. */
    static create(): CapacityCorrection {
        return new CapacityCorrection();
    }

    /** Factor on the estimated capacity. */
    get factor(): number {
        return this.current;
    }

    /** Takes in the figures of one second. */
    update(figures: DemandFigures, { capacityPerSecond, ratePerSecond, usedSlotShare }: PoolLoad): void {
        const { offeredPerSecond, admittedPerSecond, refusedPerSecond, latePerSecond } = figures;
        if (admittedPerSecond === 0 || capacityPerSecond === 0 || ratePerSecond === 0) {
            return;
        }
        const lateShare = latePerSecond / admittedPerSecond;
        const seen = admittedPerSecond / capacityPerSecond;
        const isLimited = refusedPerSecond > LIMITED_SHARE * offeredPerSecond;
        if (lateShare > MAX_LATE_SHARE && usedSlotShare >= NEARLY_FULL) {
            this.approach(Math.min(this.current, seen * DECREASE), WEIGHT);
        }
        else if (usedSlotShare < NEARLY_FULL) {
            this.approach(admittedPerSecond / ratePerSecond, isLimited ? WEIGHT : UNLIMITED_WEIGHT);
        }
        else if (isLimited && lateShare < MIN_LATE_SHARE) {
            this.approach(Math.max(this.current, seen * INCREASE), WEIGHT);
        }
        else if (isLimited) {
            this.approach(seen, WEIGHT);
        }
    }

    /** Moves the factor towards what was seen; the first time all the way, since a pool may be busy already. */
    private approach(target: number, weight: number): void {
        const factor = this.current + (this.isEstimated ? 1 : weight) * (target - this.current);
        this.isEstimated = false;
        this.current = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
    }
}
