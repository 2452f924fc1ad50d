/** Outcome of one attempt to send an order. */
export type OrderOutcome =
    & {
        /** True if the response says that the upstream is shutting down. */
        isLeaving?: boolean;
    }
    & (
        /** The upstream has started to execute it. */
        | { kind: "accepted"; }
        /** The upstream is already in the requested state. */
        | { kind: "done"; }
        /** The order does not match the upstream's state, or the upstream accepted another order first. */
        | { kind: "conflict"; }
        | { kind: "other-instance"; }
        | { kind: "refused"; status: number; }
        /** No response was received: the order may have been executed, or may still be executed later. */
        | { kind: "unknown"; reason: string; }
    );
