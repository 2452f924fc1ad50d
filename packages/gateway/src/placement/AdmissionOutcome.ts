/** Result of waiting for a place. */
export type AdmissionOutcome<P> =
    | { kind: "admitted"; slot: P; waitedMs: number; }
    /** There will be no place in time. */
    | { kind: "refused"; retryAfterMs: number; reason: string; }
    | { kind: "aborted"; };
