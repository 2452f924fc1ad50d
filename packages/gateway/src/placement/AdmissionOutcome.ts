/** Result of waiting for a slot. */
export type AdmissionOutcome<Slot> =
    | { kind: "admitted"; slot: Slot; waitedMs: number; }
    /** No slot is expected in time. */
    | { kind: "refused"; retryAfterMs: number; reason: string; }
    | { kind: "aborted"; };
