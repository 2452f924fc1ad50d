import type { Clock } from "@fescuehaven/runtime";

/** Counts events within a sliding time window. */
export class SlidingWindowCounter {
    /** On the monotonic clock, oldest first. */
    private readonly eventTimesMs: number[] = [];

    private constructor(private readonly clock: Clock, private readonly windowMs: number) {}

    /** Creates a counter without events. */
    static create(clock: Clock, windowMs: number): SlidingWindowCounter {
        return new SlidingWindowCounter(clock, windowMs);
    }

    /** Records events at the current time. */
    record(events = 1): void {
        const nowMs = this.clock.monotonicMs();
        for (let index = 0; index < events; index++) {
            this.eventTimesMs.push(nowMs);
        }
    }

    /** Number of events within the window that ends now. */
    get count(): number {
        const sinceMs = this.clock.monotonicMs() - this.windowMs;
        const firstInWindow = this.eventTimesMs.findIndex(atMs => atMs > sinceMs);
        this.eventTimesMs.splice(0, firstInWindow < 0 ? this.eventTimesMs.length : firstInWindow);
        return this.eventTimesMs.length;
    }

    /** Returns the time until fewer than `limit` events are within the window; `limit` is at least 1. */
    msUntilBelow(limit: number): number {
        return this.count < limit
            ? 0
            : this.eventTimesMs.at(-limit)! + this.windowMs - this.clock.monotonicMs();
    }
}
