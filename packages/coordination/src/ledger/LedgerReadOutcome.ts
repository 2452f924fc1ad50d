/** Result of reading the zone's ledger. */
export type LedgerReadOutcome =
    /** `ZoneLedgerStore.current` is the ledger that the platform holds. */
    | { kind: "read"; }
    | { kind: "unavailable"; retryAfterMs: number; }
    /** The value that the platform holds is not a valid ledger. */
    | { kind: "invalid"; reason: string; };
