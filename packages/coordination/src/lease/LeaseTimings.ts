/** Times of a zone lease. `renewEveryMs` has to be well below `durationMs` less `safetyMarginMs`. */
export interface LeaseTimings {
    /** The holder renews within this time. */
    durationMs: number;
    /** Time between renewals. */
    renewEveryMs: number;
    /** Mean time between a contender's looks; each is up to a quarter shorter or longer. */
    contendEveryMs: number;
    /** The holder stops this long before its lease would lapse. */
    safetyMarginMs: number;
    /** A contender waits this much longer than the lease's duration. */
    takeoverMarginMs: number;
    /** Time between the checks for a pause of the process. */
    beatEveryMs: number;
    /** A check that comes later than this counts as a pause. */
    pauseToleranceMs: number;
}
