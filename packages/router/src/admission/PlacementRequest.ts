import type { Caller } from "./Caller.js";

/** A call that asks for a place at an upstream. */
export interface PlacementRequest<P> {
    /** Calls of one pool can use the same upstreams and wait in one queue. */
    pool: string;
    caller: Caller;
    /** Memory that the call holds while it waits. */
    sizeBytes: number;
    /** On the monotonic clock. */
    deadlineMs: number;
    /** Already admitted: a further attempt goes before others and is not counted again. */
    isAdmitted: boolean;
    /** False for calls of another router, which counted them against the account itself. */
    countsForAccount: boolean;
    /** Takes a place right now, or undefined. Called again until it yields one. */
    place(): P | undefined;
    /** True when nothing could serve the call for so long that it is given up before its deadline. */
    isHopeless(): boolean;
}
