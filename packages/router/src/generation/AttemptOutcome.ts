/** How one attempt at a generation ended. */
export type AttemptOutcome =
    | { kind: "finished"; tokenCount: number; }
    /** The request did not run. */
    | { kind: "refused"; reason: string; retryAfterMs?: number; }
    /** The stream ended early. `sent` is false when no byte of the request can have been sent. */
    | { kind: "broken"; reason: string; sent: boolean; }
    /** The call was cancelled by its caller or reached its deadline. */
    | { kind: "aborted"; };
