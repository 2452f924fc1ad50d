import type { HybridTimestamp } from "../HybridTimestamp.js";

/** Writes a time stamp for the header, as `wallMs.logical`. */
export function formatTimestamp(stamp: HybridTimestamp): string {
    return `${stamp.wallMs}.${stamp.logical}`;
}
