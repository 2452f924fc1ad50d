/** Source of time for a process. Tests pass a clock that they advance by hand. */
export interface Clock {
    /** Returns the wall time. Use it only for display and for limits that include an allowance for clock error. */
    now(): Date;

    /** Returns the milliseconds on a clock that never goes back. Its origin is not specified. */
    monotonicMs(): number;

    /** Resolves after `durationMs`, or at once when `signal` aborts. Never rejects. */
    sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
}
