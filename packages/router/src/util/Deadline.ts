import type { Clock } from "@fescuehaven/runtime";

/** A signal that aborts at a given time. */
export class Deadline {
    private readonly passed = new AbortController();
    private readonly ended = new AbortController();

    private constructor() {}

    /** Starts a deadline; `atMs` is on the monotonic clock. */
    static create(clock: Clock, atMs: number): Deadline {
        const deadline = new Deadline();
        const remainingMs = atMs - clock.monotonicMs();
        void clock.sleep(remainingMs, deadline.ended.signal).then(() => deadline.passed.abort());
        return deadline;
    }

    /** Aborts at the deadline, or when it is ended. */
    get signal(): AbortSignal {
        return this.passed.signal;
    }

    /** Clears the timer; call it when the deadline is no longer needed. */
    end(): void {
        this.ended.abort();
    }
}
