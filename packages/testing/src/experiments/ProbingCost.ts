/** What probing a zone costs, from one simulated run. */
export interface ProbingCost {
    policy: "shared" | "all-probe-all";
    routers: number;
    vms: number;
    /** Probes that each router sends, a second. */
    probesPerRouterPerSecond: number;
    /** Updates that each router receives from others, a second. */
    updatesPerRouterPerSecond: number;
    /** Size of what each router receives from others, without framing, bytes a second. */
    updateBytesPerRouterPerSecond: number;
    /** Probes that each engine answers, a second. */
    probesPerEnginePerSecond: number;
    /** From a member's death until a router holds the group unready: mean and longest over routers, ms. */
    detectionMeanMs: number;
    detectionMaxMs: number;
}
