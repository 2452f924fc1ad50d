/** Result of an update of the zone's ledger. */
export type LedgerUpdateOutcome =
    /** In the platform; `ZoneLedgerStore.current` holds it. */
    | { kind: "committed"; }
    /** The ledger has moved on, with or without this update in its past. Decide again from `current`. */
    | { kind: "superseded"; }
    /** Known not to have taken effect. */
    | { kind: "unavailable"; retryAfterMs: number; }
    /** The answer was lost and could not be read back. Call `refresh` before anything else. */
    | { kind: "unsettled"; }
    /** The value breaks an invariant of the ledger, or the platform will never take it. */
    | { kind: "invalid"; reason: string; };
