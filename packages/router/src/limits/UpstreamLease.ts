import type { LeaseResult } from "./LeaseResult.js";

/** A slot at an upstream. */
export interface UpstreamLease {
    /** Gives the slot back; later calls do nothing. */
    release(result: LeaseResult): void;
}
