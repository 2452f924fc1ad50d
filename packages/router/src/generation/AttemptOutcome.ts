/** How one attempt at a generation ended. */
export type AttemptOutcome =
    | { kind: "finished"; tokenCount: number; }
    /** Nothing ran. */
    | { kind: "refused"; reason: string; retryAfterMs?: number; }
    /** Ended early. `sent` is false when no byte of the request can have left. */
    | { kind: "broken"; reason: string; sent: boolean; }
    /** The call itself was given up. */
    | { kind: "aborted"; };
