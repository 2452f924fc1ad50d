/** How a call that held a slot ended, as it affects the upstream's limit. */
export type LeaseResult =
    | { kind: "completed"; }
    /** The upstream refused the call because it was overloaded. */
    | { kind: "overloaded"; }
    /** The connection was reset or could not be established. */
    | { kind: "reset"; }
    /** The outcome does not affect the limit. */
    | { kind: "neutral"; };
