/** Holds bytes of a response until they are complete. */
interface Holder {
    /** Drops the bytes; the response cannot be completed any more. */
    evict(): void;
}

/**
 * Limits the bytes that are held of all incomplete responses together, whose number is limited by connections only. When
 * the limit is exceeded, the largest response is dropped: sound ones are small next to one that does not end.
 */
export class ResponseMemory {
    private readonly heldBytes = new Map<Holder, number>();
    private totalBytes = 0;

    private constructor(private readonly limitBytes: number) {}

    /** Creates an instance without responses. */
    static create(limitBytes: number): ResponseMemory {
        return new ResponseMemory(limitBytes);
    }

    /** Number of bytes that are held. */
    get usedBytes(): number {
        return this.totalBytes;
    }

    /** Records how much a response holds, and drops the largest ones, which may include it, while that is too much. */
    reserve(holder: Holder, bytes: number): void {
        this.totalBytes += bytes - (this.heldBytes.get(holder) ?? 0);
        this.heldBytes.set(holder, bytes);
        while (this.totalBytes > this.limitBytes) {
            const [largest] = [...this.heldBytes].reduce((one, other) => other[1] > one[1] ? other : one);
            this.release(largest);
            largest.evict();
        }
    }

    /** Records that a response holds nothing any more. */
    release(holder: Holder): void {
        this.totalBytes -= this.heldBytes.get(holder) ?? 0;
        this.heldBytes.delete(holder);
    }
}
