import type { HybridTimestamp } from "../HybridTimestamp.js";

/** Negative when `left` is earlier, positive when it is later, else 0. */
export function compareTimestamps(left: HybridTimestamp, right: HybridTimestamp): number {
    return left.wallMs - right.wallMs || left.logical - right.logical;
}
