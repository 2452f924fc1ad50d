/** One event of a generation stream, from an engine or a peer router. */
export type StreamEvent =
    | { kind: "token"; requestId: string; attemptId: string; index: number; text: string; }
    /** The response is complete; `tokenCount` counts from token 0. */
    | { kind: "done"; requestId: string; attemptId: string; tokenCount: number; }
    | { kind: "heartbeat"; }
    /** The request did not run. */
    | { kind: "refused"; reason: string; retryAfterMs?: number; }
    /** The stream ended early. `sent` is false when no byte of the request can have been sent. */
    | { kind: "broken"; reason: string; sent: boolean; };
