/** Result of recording the answer of a claimed key. */
export type KeyFinishOutcome =
    | { kind: "recorded"; }
    | { kind: "unavailable"; retryAfterMs: number; }
    | { kind: "unknown"; };
