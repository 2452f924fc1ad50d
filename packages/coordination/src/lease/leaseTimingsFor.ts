import type { LeaseTimings } from "./LeaseTimings.js";

/** Longest time by which a check for a pause may come late on a busy machine, ms. */
const LONGEST_PAUSE_TOLERANCE_MS = 1000;

/** Derives the times of a lease from its duration, ms: the holder has two renewals in the time that it may rely on. */
export function leaseTimingsFor(durationMs: number): LeaseTimings {
    return {
        durationMs,
        renewEveryMs: durationMs / 4,
        contendEveryMs: durationMs / 3,
        safetyMarginMs: durationMs / 4,
        takeoverMarginMs: durationMs / 6,
        beatEveryMs: durationMs / 60,
        pauseToleranceMs: Math.min(LONGEST_PAUSE_TOLERANCE_MS, durationMs / 6),
    };
}
