/** A caller's request with its complete body. */
export interface IncomingRequest {
    id: string;
    method: string;
    /** Path and query as sent by the caller. */
    target: string;
    host: string;
    /** Alternating names and values, without hop-by-hop headers and headers that the system sets itself. */
    headers: readonly string[];
    body?: Buffer;
    apiKey?: string;
    /** How long the caller waits for the response, counted from `receivedAtMs`. */
    callerTimeoutMs?: number;
    receivedAtMs: number;
    model?: string;
    promptTokens: number;
    /** Ids of the parts of the prompt that other requests may have too. */
    sharedPromptParts: readonly string[];
    /** Maximum number of tokens in the response. */
    maxAnswerTokens: number;
    /** The caller's estimate of the number of tokens in the response. */
    expectedAnswerTokens?: number;
    /** Id of the event after which the caller resumes a stream. */
    lastEventId?: string;
}
