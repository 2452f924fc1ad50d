/** Cost of probing a zone in one simulated run. */
export interface ProbingCost {
    policy: "shared" | "all-probe-all";
    routers: number;
    vms: number;
    /** Rate of probes that each router sends. */
    probesPerRouterPerSecond: number;
    /** Rate of evidence updates that each router receives from other routers. */
    updatesPerRouterPerSecond: number;
    /** Message bytes, without framing, that each router receives from other routers. */
    updateBytesPerRouterPerSecond: number;
    /** Rate of probes that each engine answers. */
    probesPerEnginePerSecond: number;
    /** Time from a member's failure until a router considers its group not ready: mean and maximum over routers. */
    detectionMeanMs: number;
    detectionMaxMs: number;
}
