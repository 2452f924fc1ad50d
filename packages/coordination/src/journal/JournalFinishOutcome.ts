/** Result of recording the answer of a claimed key. */
export type JournalFinishOutcome =
    | { kind: "recorded"; }
    | { kind: "unavailable"; retryAfterMs: number; }
    | { kind: "unknown"; };
