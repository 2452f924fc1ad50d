/** A generation handed to a router of another availability zone. */
export interface ForwardedGeneration {
    requestId: string;
    attemptId: string;
    clientAccount: string;
    modelVersion: string;
    prompt: string;
    maxTokens: number;
    /** Index of the first token wanted. */
    resumeFromToken: number;
    priority: number;
    /** Time left until the caller's deadline. */
    remainingMs: number;
    /** Refuse at once when no slot is free. */
    onlyIfFree: boolean;
}
