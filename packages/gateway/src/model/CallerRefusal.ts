/** A final answer of the system's own. */
export type CallerRefusal =
    /** The request has not run and never will; the caller may come back after the given time. */
    | { kind: "not-run"; retryAfterMs: number; reason: string; }
    | { kind: "no-route"; }
    | { kind: "unknown-key"; }
    | { kind: "too-large"; }
    /** It may have run. */
    | { kind: "outcome-unknown"; reason: string; }
    /** It may have run; the route's or the caller's time is over. */
    | { kind: "timed-out"; };
