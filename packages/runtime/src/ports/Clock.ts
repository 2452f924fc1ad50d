/** Time as a process sees it. Tests pass a clock that they advance by hand. */
export interface Clock {
    /** The wall clock. Only for people and for bounds that state an allowance for clock error. */
    now(): Date;

    /** Milliseconds on a clock that never goes back. Its origin is unspecified. */
    monotonicMs(): number;

    /** Resolves after `durationMs`, or at once when `signal` aborts. Never rejects. */
    sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
}
