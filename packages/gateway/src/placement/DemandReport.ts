import type { PoolDemand } from "./PoolDemand.js";

/** Demand of one second, of one or more gateways. */
export interface DemandReport {
    /** Pools with requests. */
    pools: readonly PoolDemand[];
    /** Number of gateways whose demand is included. */
    gateways: number;
    /** Time since the second ended, as a mean over these gateways. */
    ageMs: number;
}
