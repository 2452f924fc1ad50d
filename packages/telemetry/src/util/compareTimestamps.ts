import type { HybridTimestamp } from "../HybridTimestamp.js";

/** Returns a negative number if `left` is earlier, a positive number if it is later, 0 if both are equal. */
export function compareTimestamps(left: HybridTimestamp, right: HybridTimestamp): number {
    return left.wallMs - right.wallMs || left.logical - right.logical;
}
