/** Result of releasing a claimed key. */
export type JournalReleaseOutcome =
    | { kind: "released"; }
    | { kind: "unavailable"; retryAfterMs: number; }
    | { kind: "unknown"; };
