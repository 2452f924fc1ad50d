import type { LeaseTimings } from "./LeaseTimings.js";

/** Times of a zone lease unless set otherwise. */
export const defaultLeaseTimings: LeaseTimings = {
    durationMs: 6000,
    renewEveryMs: 1500,
    contendEveryMs: 2000,
    safetyMarginMs: 1500,
    takeoverMarginMs: 1000,
    beatEveryMs: 100,
    pauseToleranceMs: 1000,
};
