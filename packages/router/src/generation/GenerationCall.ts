import type { Caller } from "../admission/Caller.js";

/** A generation that a caller or another router asked for. */
export interface GenerationCall {
    requestId: string;
    caller: Caller;
    /** Name of the model version object that answers it. */
    modelVersion: string;
    prompt: string;
    /** Tokens of the whole answer. */
    maxTokens: number;
    /** Index of the first token wanted. */
    resumeFromToken: number;
    /** On the monotonic clock. */
    deadlineMs: number;
    /** `peer`: forwarded by another router; it is served here or refused, never forwarded again. */
    origin: "caller" | "peer";
    /** Refuse at once when no slot is free. */
    onlyIfFree?: boolean;
}
