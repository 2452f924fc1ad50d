import type { DemandCounts } from "./DemandCounts.js";

/** Demand of one rank. */
export interface RankDemand extends DemandCounts {
    /** Lower ranks are more urgent. */
    rank: number;
    /** The client accounts with the most requests, by the hash of their name, largest first. */
    accounts: ReadonlyArray<readonly [account: number, offered: number]>;
}
