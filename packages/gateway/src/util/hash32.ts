const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns a 32-bit hash (FNV-1a) of a text, the same in every process. Not for texts that callers choose freely. */
export function hash32(text: string): number {
    let hash = FNV_OFFSET;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    return hash >>> 0;
}
