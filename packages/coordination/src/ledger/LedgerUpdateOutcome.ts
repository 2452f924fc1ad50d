/** Result of an update of the zone's ledger. */
export type LedgerUpdateOutcome =
    /** The update took effect; `ZoneLedgerStore.current` contains it. */
    | { kind: "committed"; }
    /** Another update followed; this one may or may not have taken effect before it. Decide again from `current`. */
    | { kind: "superseded"; }
    /** The update certainly did not take effect. */
    | { kind: "unavailable"; retryAfterMs: number; }
    /** The response was lost and the outcome could not be read back. Call `refresh` before anything else. */
    | { kind: "unresolved"; }
    /** The value breaks an invariant of the ledger, or the platform will never accept it. */
    | { kind: "invalid"; reason: string; };
