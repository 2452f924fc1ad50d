/** A request as a caller sent it, read whole. */
export interface IncomingRequest {
    id: string;
    method: string;
    /** Path and query, unchanged. */
    target: string;
    host: string;
    /** Names and values in turn, without those that concern one connection only or that the system sets itself. */
    headers: readonly string[];
    body?: Buffer;
    apiKey?: string;
    /** How long the caller waits, counted from `receivedAtMs`. */
    callerTimeoutMs?: number;
    receivedAtMs: number;
    model?: string;
    promptTokens: number;
    /** Most tokens that the answer may have. */
    maxAnswerTokens: number;
    /** The caller's estimate of the answer's tokens. */
    expectedAnswerTokens?: number;
    /** The caller resumes a stream after this event. */
    lastEventId?: string;
}
