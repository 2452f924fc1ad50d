/** Result of an order to an engine. */
export type OrderOutcome =
    | { kind: "accepted"; }
    /** The engine has seen a higher fencing number. */
    | { kind: "stale"; highestFence: number; }
    /** No answer: the order may arrive, or arrive late. */
    | { kind: "unknown"; };
