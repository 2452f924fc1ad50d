import { createHash } from "node:crypto";

/** Returns a 32-bit hash that is the same in every process. */
export function hash32(text: string): number {
    return createHash("sha256").update(text).digest().readUInt32BE(0);
}
