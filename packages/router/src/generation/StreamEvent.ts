/** One event of a generation stream, from an engine or from a router of another availability zone. */
export type StreamEvent =
    | { kind: "token"; requestId: string; attemptId: string; index: number; text: string; }
    /** The answer is whole; `tokenCount` counts from token 0. */
    | { kind: "done"; requestId: string; attemptId: string; tokenCount: number; }
    | { kind: "heartbeat"; }
    /** Nothing ran. */
    | { kind: "refused"; reason: string; retryAfterMs?: number; }
    /** Ended without a whole answer. `sent` is false when no byte of the request can have left. */
    | { kind: "broken"; reason: string; sent: boolean; };
