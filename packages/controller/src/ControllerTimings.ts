/** Times and bounds of a zone controller. */
export interface ControllerTimings {
    /** Longest time between two rounds. */
    roundEveryMs: number;
    /** An observation older than this says nothing. */
    observationFreshMs: number;
    /** A member unseen for this long is replaced if a spare is free. */
    memberLostAfterMs: number;
    /** A VM that is neither listed nor seen for this long gives up a claim that is being released. */
    vanishedAfterMs: number;
    /** Longest wait for an engine's answer to an order. */
    orderTimeoutMs: number;
    /** Time that an accepted order has to show in the member's report before it is sent again. */
    orderSettleMs: number;
    /** Time in which routers learn that a group is closed. */
    routerStopMs: number;
    /** Longest wait for a closed group's requests to end. */
    drainBoundMs: number;
    /** The platform counts as down when it has answered nothing for this long. */
    outageAfterMs: number;
    /** Wait before a status that could not be written is tried again. */
    statusRetryMs: number;
    /** Members that load weights at once in the zone. */
    maxConcurrentLoads: number;
}
