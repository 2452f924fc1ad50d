/** Result of recording the response for a claimed key. */
export type JournalFinishOutcome =
    | { kind: "recorded"; }
    | { kind: "unavailable"; retryAfterMs: number; }
    | { kind: "unknown"; };
