/** Result of an order. */
export type OrderOutcome =
    /** It has begun. */
    | { kind: "accepted"; }
    /** The state that it asks for holds already. */
    | { kind: "done"; }
    /** It does not fit the upstream's state, or another order came first. */
    | { kind: "conflict"; }
    | { kind: "other-instance"; }
    | { kind: "refused"; status: number; }
    /** No answer: it may have been carried out, or may be later. */
    | { kind: "unknown"; reason: string; };
