import type { Caller } from "./Caller.js";

/** A call that asks for a slot at an upstream. */
export interface AdmissionRequest<P> {
    /** Calls of one pool can use the same upstreams and wait in one queue. */
    pool: string;
    caller: Caller;
    /** Memory that the call holds while it waits. */
    sizeBytes: number;
    /** On the monotonic clock. */
    deadlineMs: number;
    /** The call had a slot before. A further attempt goes ahead of other calls and is not counted again. */
    wasAdmitted: boolean;
    /** False for calls that another router forwarded, as that router counts them for the account. */
    countsForAccount: boolean;
    /** Acquires a slot, or returns undefined when none is free. Called again until it returns one. */
    tryAcquireSlot(): P | undefined;
    /** Returns true when the call is to be refused before its deadline because no upstream can serve it. */
    shouldGiveUp(): boolean;
}
