/** A generation as an engine takes it. */
export interface EngineCall {
    requestId: string;
    /** Unique to the attempt; ties the answer to it. */
    attemptId: string;
    group: string;
    /** Fencing number under which the sender believes the group to serve. */
    epoch: number;
    prompt: string;
    /** Tokens of the whole answer, those before `resumeFromToken` included. */
    maxTokens: number;
    /** Index of the first token wanted. */
    resumeFromToken: number;
    /** Higher goes first. */
    priority: number;
}
