/** Result of reading the zone's ledger. */
export type LedgerReadOutcome =
    /** `ZoneLedgerStore.current` holds what the platform holds. */
    | { kind: "read"; }
    | { kind: "unavailable"; retryAfterMs: number; }
    /** The platform holds a value that is not a ledger. */
    | { kind: "invalid"; reason: string; };
