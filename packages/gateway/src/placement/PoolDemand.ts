import type { RankDemand } from "./RankDemand.js";

/** Requests for a model that arrived in a zone within one second. */
export interface PoolDemand {
    service: string;
    model: string;
    zone: string;
    /** Most urgent rank first. */
    ranks: readonly RankDemand[];
}
