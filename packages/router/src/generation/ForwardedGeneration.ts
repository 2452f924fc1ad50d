/** A generation that is forwarded to a peer router; it becomes a protocol message under these names. */
export interface ForwardedGeneration {
    requestId: string;
    attemptId: string;
    clientAccount: string;
    modelVersion: string;
    prompt: string;
    maxTokens: number;
    /** Index of the first token to send. */
    resumeFromToken: number;
    priority: number;
    /** Time left until the caller's deadline. */
    remainingMs: number;
    /** The peer refuses the call at once when it has no free slot. */
    onlyIfFree: boolean;
}
