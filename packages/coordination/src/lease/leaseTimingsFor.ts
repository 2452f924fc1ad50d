import type { LeaseTimings } from "./LeaseTimings.js";

/** Upper limit of the tolerated delay of a pause check; a busy machine can delay the checks. */
const MAX_PAUSE_TOLERANCE_MS = 1000;

/** Derives the timings of a lease from its duration. The holder can renew it twice before it stops relying on it. */
export function leaseTimingsFor(durationMs: number): LeaseTimings {
    return {
        durationMs,
        renewEveryMs: durationMs / 4,
        contendEveryMs: durationMs / 3,
        safetyMarginMs: durationMs / 4,
        takeoverMarginMs: durationMs / 6,
        pauseCheckEveryMs: durationMs / 60,
        pauseToleranceMs: Math.min(MAX_PAUSE_TOLERANCE_MS, durationMs / 6),
    };
}
