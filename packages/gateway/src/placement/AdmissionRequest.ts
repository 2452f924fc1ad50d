/** A request for a slot. */
export interface AdmissionRequest<Slot> {
    /** Requests of one pool wait for the same slots. */
    pool: string;
    /** Lower values are admitted first. */
    priority: number;
    /** Latest admission for which the response is still on time, on the monotonic clock. */
    onTimeUntilMs: number;
    /** Latest admission for which a slot is still useful, on the monotonic clock. */
    usefulUntilMs: number;
    /** Takes a slot; returns undefined if none is free. */
    tryAcquireSlot: () => Slot | undefined;
    /** Expected time until the pool has slots: 0 if it has some, free or taken; Infinity if none are expected. */
    expectedWaitMs: () => number;
}
