/** Faults that a test switches on in a `MemoryObjectStore`. */
export interface StoreFaults {
    /** Every call fails without effect. */
    outage: boolean;
    /** Writes take effect, but their answer is lost: this many of the next ones. */
    loseNextAnswers: number;
    /** Writes have no effect and their answer is lost: this many of the next ones. */
    loseNextWrites: number;
    /** Every call takes this long, ms. */
    delayMs: number;
    /** Watches never return, as over a connection that went silent. */
    silentWatches: boolean;
}
