/** Result of waiting for a slot. */
export type AdmissionOutcome<P> =
    | { kind: "admitted"; slot: P; }
    | { kind: "account-queue-full"; retryAfterMs: number; }
    | { kind: "queue-full"; retryAfterMs: number; }
    /** The estimated wait is longer than the time until the deadline. */
    | { kind: "deadline-unreachable"; retryAfterMs: number; }
    | { kind: "no-upstream"; retryAfterMs: number; }
    | { kind: "deadline-passed"; }
    | { kind: "aborted"; };
