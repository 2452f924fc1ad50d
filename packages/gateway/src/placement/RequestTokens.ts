/** Tokens of a request that count towards a group's memory. */
export interface RequestTokens {
    promptTokens: number;
    /** Tokens of the response that earlier attempts delivered. */
    outputTokens: number;
    /** Expected tokens of the response, with a margin for wrong estimates. */
    answerTokens: number;
    /** Largest number of tokens of the response; Infinity if the caller states none. */
    maxAnswerTokens: number;
    /** Tokens of the response in one event. */
    tokensPerEvent: number;
    /** False if the request states no tokens; typical ones are assumed for the load, and nothing is decided by them. */
    isStated: boolean;
    /** Drawn for the request, from 0 to 1: decides which of several requests gets memory that does not suffice for all. */
    draw: number;
    /** True if the request is not expected to fit into the memory of a group that has no other. */
    exceedsMemory: boolean;
}
