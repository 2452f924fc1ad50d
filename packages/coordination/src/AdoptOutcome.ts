/** Result of offering an object or a removal to the configuration in force. */
export type AdoptOutcome =
    | { kind: "adopted"; }
    /** What is in force is as new, or the object is known to have been removed since. */
    | { kind: "older"; }
    /** The value does not validate; the last good one stays. */
    | { kind: "refused"; reason: string; };
