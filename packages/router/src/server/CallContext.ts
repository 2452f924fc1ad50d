import type { Caller } from "../admission/Caller.js";

/** A call whose caller is known. */
export interface CallContext {
    requestId: string;
    caller: Caller;
    /** Aborts when the caller closes the connection. */
    signal: AbortSignal;
}
