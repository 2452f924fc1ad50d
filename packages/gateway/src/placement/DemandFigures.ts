import type { RankDemand } from "./RankDemand.js";

/** Demand for a pool, from the gateways that have reported. */
export interface DemandFigures {
    offeredPerSecond: number;
    admittedPerSecond: number;
    refusedPerSecond: number;
    latePerSecond: number;
    /** Counts of one second, most urgent rank first. */
    ranks: readonly RankDemand[];
    /** Time since the second ended, as a mean over the gateways that are included. */
    ageMs: number;
    /** False while a known gateway has not reported within the last two seconds. */
    isComplete: boolean;
}
