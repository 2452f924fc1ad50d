/** Result of calling the owner of a shard. */
export type OwnerOutcome<T> =
    | { kind: "answered"; response: T; }
    /** The owner did not respond; it may still act on the call. */
    | { kind: "silent"; }
    /** This process is the owner, or the owner failed to respond recently. */
    | { kind: "not-called"; };
