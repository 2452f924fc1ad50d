import type { DemandCounts } from "./DemandCounts.js";

/** What has become of a request for a pool. */
export interface DemandOutcome {
    kind: keyof DemandCounts;
    service: string;
    model: string;
    rank: number;
    /** Name of the client account; undefined if the request needs none. */
    account?: string;
}
