import type { ControllerTimings } from "./ControllerTimings.js";

/** Default timings of a zone controller. */
export const defaultControllerTimings: ControllerTimings = {
    reconcileIntervalMs: 200,
    observationMaxAgeMs: 5000,
    memberLostAfterMs: 5000,
    vanishedAfterMs: 60_000,
    orderTimeoutMs: 1000,
    orderEffectDelayMs: 1000,
    closePropagationMs: 3000,
    drainBoundMs: 60_000,
    outageAfterMs: 5000,
    statusRetryMs: 2000,
    maxConcurrentLoads: 16,
};
