/** Body of a generation request to an engine; it is sent as JSON under these names. */
export interface EngineCall {
    requestId: string;
    /** Unique to the attempt; the engine repeats it in each event of the response. */
    attemptId: string;
    group: string;
    /** Fencing token: the epoch at which the sender believes the group to serve. */
    epoch: number;
    prompt: string;
    /** Most tokens of the complete response, including those before `resumeFromToken`. */
    maxTokens: number;
    /** Index of the first token to send. */
    resumeFromToken: number;
    /** Requests with a higher value are served first. */
    priority: number;
}
