import type { Clock } from "@fescuehaven/runtime";

/** Times of events within a sliding window. */
export class SlidingWindowCounter {
    /** Monotonic ms, oldest first. */
    private readonly atMs: number[] = [];

    private constructor(private readonly clock: Clock, private readonly windowMs: number) {}

    /** Creates an empty window. */
    static create(clock: Clock, windowMs: number): SlidingWindowCounter {
        return new SlidingWindowCounter(clock, windowMs);
    }

    /** Notes events of now. */
    record(events = 1): void {
        const nowMs = this.clock.monotonicMs();
        for (let index = 0; index < events; index++) {
            this.atMs.push(nowMs);
        }
    }

    /** Events within the window that ends now. */
    get count(): number {
        const sinceMs = this.clock.monotonicMs() - this.windowMs;
        const firstKept = this.atMs.findIndex(atMs => atMs > sinceMs);
        this.atMs.splice(0, firstKept < 0 ? this.atMs.length : firstKept);
        return this.atMs.length;
    }
}
