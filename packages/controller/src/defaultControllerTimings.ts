import type { ControllerTimings } from "./ControllerTimings.js";

/** Times and bounds of a zone controller unless set otherwise. */
export const defaultControllerTimings: ControllerTimings = {
    roundEveryMs: 200,
    observationFreshMs: 5000,
    memberLostAfterMs: 5000,
    vanishedAfterMs: 60_000,
    orderTimeoutMs: 1000,
    orderSettleMs: 1000,
    routerStopMs: 3000,
    drainBoundMs: 60_000,
    outageAfterMs: 5000,
    statusRetryMs: 2000,
    maxConcurrentLoads: 16,
};
