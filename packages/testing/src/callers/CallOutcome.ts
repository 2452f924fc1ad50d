/** What a caller saw of one call. */
export type CallOutcome =
    /** The answer ended as a whole one does. `parts` holds the chunks of a streamed answer, else one part. */
    | { kind: "answered"; parts: string[]; }
    | { kind: "refused"; status: number; type: string; ran: "no" | "yes" | "unknown"; retryAfterMs: number; }
    /** The connection was lost or the answer broke off, after `parts`. */
    | { kind: "cut"; parts: string[]; reason: string; }
    /** No connection could be made, so nothing was sent. */
    | { kind: "unconnected"; reason: string; };
