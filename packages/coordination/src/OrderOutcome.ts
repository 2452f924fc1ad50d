/** Result of an order to an engine. */
export type OrderOutcome =
    | { kind: "accepted"; }
    /** The engine has seen a higher fencing token. */
    | { kind: "stale"; highestFence: number; }
    /** No response: the order may have arrived or may still arrive. */
    | { kind: "unknown"; };
