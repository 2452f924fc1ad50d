import type { HybridTimestamp } from "../HybridTimestamp.js";

/** Formats a timestamp as `wallMs.logical`, for the header `hybridHeader`. */
export function formatTimestamp(stamp: HybridTimestamp): string {
    return `${stamp.wallMs}.${stamp.logical}`;
}
