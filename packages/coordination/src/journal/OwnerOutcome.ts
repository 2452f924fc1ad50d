/** Result of asking the owner of a shard. */
export type OwnerOutcome<T> =
    | { kind: "answered"; answer: T; }
    /** It was asked and may act on it, now or late. */
    | { kind: "silent"; }
    /** This process is the owner, or the owner is passed over. */
    | { kind: "not-asked"; };
