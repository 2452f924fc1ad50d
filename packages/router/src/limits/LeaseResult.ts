/** How a call that held an upstream's slot ended, as far as the upstream's limit is concerned. */
export type LeaseResult =
    | { kind: "completed"; }
    /** The upstream refused it for load. */
    | { kind: "overloaded"; }
    /** The connection was reset or could not be made. */
    | { kind: "reset"; }
    /** Nothing can be said of the upstream. */
    | { kind: "neutral"; };
