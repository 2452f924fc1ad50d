/** A final error response that the system generates itself. */
export type CallerRefusal =
    /** The request has not run and never will. The caller may retry after the given time. */
    | { kind: "not-run"; retryAfterMs: number; reason: string; }
    | { kind: "no-route"; }
    | { kind: "unknown-key"; }
    | { kind: "too-large"; }
    /** The request may have run. */
    | { kind: "outcome-unknown"; reason: string; }
    /** The request may have run, and the route's or the caller's timeout has expired. */
    | { kind: "timed-out"; };
