import type { Caller } from "../admission/Caller.js";

/** A generation that a caller or a peer router requested. */
export interface GenerationCall {
    requestId: string;
    caller: Caller;
    /** Name of the model version object that serves the call. */
    modelVersion: string;
    prompt: string;
    /** Most tokens of the complete response. */
    maxTokens: number;
    /** Index of the first token to send. */
    resumeFromToken: number;
    /** On the monotonic clock. */
    deadlineMs: number;
    /** A call from a `peer` is served in this router's zone or refused; it is never forwarded again. */
    origin: "caller" | "peer";
    /** Refuse the call at once when no slot is free. */
    onlyIfFree?: boolean;
}
