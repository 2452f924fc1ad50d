/** Timings of a zone lease. `renewEveryMs` must be well below `durationMs` minus `safetyMarginMs`. */
export interface LeaseTimings {
    /** Time within which the holder has to renew the lease. */
    durationMs: number;
    /** Interval between renewals. */
    renewEveryMs: number;
    /** Mean interval between a contender's attempts; each is up to a quarter shorter or longer. */
    contendEveryMs: number;
    /** The holder stops relying on its lease this long before the lease expires. */
    safetyMarginMs: number;
    /** A contender waits this much longer than the lease's duration before it takes the lease over. */
    takeoverMarginMs: number;
    /** Interval between checks for a pause of the process. */
    pauseCheckEveryMs: number;
    /** A check that is late by more than this counts as a pause. */
    pauseToleranceMs: number;
}
