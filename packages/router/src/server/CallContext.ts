import type { Caller } from "../admission/Caller.js";

/** An authenticated call. */
export interface CallContext {
    requestId: string;
    caller: Caller;
    /** Aborts when the caller closes the connection. */
    signal: AbortSignal;
}
