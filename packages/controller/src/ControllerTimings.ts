/** Intervals, timeouts and limits of a zone controller. */
export interface ControllerTimings {
    /** Longest time between two iterations; a configuration change starts one sooner. */
    reconcileIntervalMs: number;
    /** Older observations are ignored. */
    observationMaxAgeMs: number;
    /** A member that has not reported for this long is replaced if a spare is free. */
    memberLostAfterMs: number;
    /** A claim that is being released is freed once its VM has neither been listed nor reported for this long. */
    vanishedAfterMs: number;
    /** Longest wait for an engine's response to an order. */
    orderTimeoutMs: number;
    /** After an accepted order, the order is sent again only if a report observed later than this shows no effect. */
    orderEffectDelayMs: number;
    /** Time within which routers learn that a group is closed and stop sending it requests. */
    closePropagationMs: number;
    /** Longest wait for a closed group's requests to end. */
    drainBoundMs: number;
    /** The platform counts as down when it has not responded for this long. */
    outageAfterMs: number;
    /** Delay before a failed status update is retried. */
    statusRetryMs: number;
    /** Most members in the zone that load weights at the same time. */
    maxConcurrentLoads: number;
}
