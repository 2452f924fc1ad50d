/** Result of releasing a claimed key. */
export type KeyReleaseOutcome =
    | { kind: "released"; }
    | { kind: "unavailable"; retryAfterMs: number; }
    | { kind: "unknown"; };
