/** Outcome of one attempt at a call, as the caller saw it. */
export type CallOutcome =
    /** The response ended properly. `parts` holds the chunks of a streamed response, otherwise one part. */
    | { kind: "answered"; parts: string[]; }
    | { kind: "refused"; status: number; type: string; ran: "no" | "yes" | "unknown"; retryAfterMs: number; }
    /** The connection was lost or the response ended early; `parts` holds the chunks received before. */
    | { kind: "interrupted"; parts: string[]; reason: string; }
    /** No connection could be made, so nothing was sent. */
    | { kind: "unconnected"; reason: string; };
