/** Demand by which groups are planned. */
export interface PlanningDemand {
    /** Shares of the service's work by model, in place of the configured ones. */
    shares: ReadonlyMap<string, number>;
    /** Share of each model's requests that arrive in each zone. */
    zoneShares: ReadonlyMap<string, ReadonlyMap<string, number>>;
    /** Number of each model's groups in each zone. */
    zoneGroupCounts: ReadonlyMap<string, ReadonlyMap<string, number>>;
    /** Models of whose requests too many are refused or late. */
    shortModels: ReadonlySet<string>;
}
