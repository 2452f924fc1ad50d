/** Faults that a test switches on in a `MemoryObjectStore`. */
export interface StoreFaults {
    /** Every call fails without effect. */
    outage: boolean;
    /** Number of the next writes that take effect but whose response is lost. */
    loseNextAnswers: number;
    /** Number of the next writes that have no effect and whose response is lost. */
    loseNextWrites: number;
    /** Delay of every call. */
    delayMs: number;
    /** Watches don't return until their signal aborts, as over a silent connection. */
    silentWatches: boolean;
}
