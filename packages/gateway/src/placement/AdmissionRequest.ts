/** A request that wants a place. */
export interface AdmissionRequest<P> {
    /** Requests of one pool wait for the same places. */
    pool: string;
    /** 0 goes first. */
    priority: number;
    /** Until when a place still makes the answer on time, on the monotonic clock, ms. */
    onTimeUntilMs: number;
    /** Until when a place makes sense at all, ms. */
    usefulUntilMs: number;
    /** Takes a place if there is one. */
    tryAcquireSlot: () => P | undefined;
    /** Time until the first place can come into being, ms: 0 if there are places now, Infinity if none is in sight. */
    expectedWaitMs: () => number;
}
