/** Result of offering an object or a removal to the active configuration. */
export type AdoptOutcome =
    | { kind: "adopted"; }
    /** The active revision is at least as new, or the object is known to have been removed since. */
    | { kind: "older"; }
    /** The value is invalid; the last valid one stays active. */
    | { kind: "refused"; reason: string; };
