/** Result of waiting for a place. */
export type PlacementOutcome<P> =
    | { kind: "placed"; place: P; }
    | { kind: "account-queue-full"; retryAfterMs: number; }
    | { kind: "queue-full"; retryAfterMs: number; }
    /** By the estimated wait, the deadline cannot be made. */
    | { kind: "deadline-unreachable"; retryAfterMs: number; }
    | { kind: "no-upstream"; retryAfterMs: number; }
    | { kind: "deadline-passed"; }
    | { kind: "aborted"; };
