import type { LeaseResult } from "./LeaseResult.js";

/** Holds a slot at an upstream until it is released. */
export interface UpstreamLease {
    /** Releases the slot; later calls do nothing. */
    release(result: LeaseResult): void;
}
