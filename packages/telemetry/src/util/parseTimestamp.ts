import type { HybridTimestamp } from "../HybridTimestamp.js";

const PATTERN = /^(\d{1,15})\.(\d{1,9})$/;

/** Parses a timestamp from the header. Returns undefined if the text is not a timestamp. */
export function parseTimestamp(text: string): HybridTimestamp | undefined {
    const match = PATTERN.exec(text);
    return match ? { wallMs: Number(match[1]), logical: Number(match[2]) } : undefined;
}
