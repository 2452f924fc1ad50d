/** Bytes that arrive in chunks. Copies them: tiny chunks would take far more memory as buffers of their own. */
export class GrowingBuffer {
    private storage = Buffer.alloc(0);
    private byteCount = 0;

    private constructor() {}

    /** Creates an empty buffer. */
    static create(): GrowingBuffer {
        return new GrowingBuffer();
    }

    /** Number of bytes. */
    get length(): number {
        return this.byteCount;
    }

    /** The bytes so far. */
    get bytes(): Buffer {
        return this.storage.subarray(0, this.byteCount);
    }

    /** Appends a chunk. */
    append(chunk: Buffer): void {
        const newCount = this.byteCount + chunk.length;
        if (newCount > this.storage.length) {
            this.storage = Buffer.concat([this.bytes], Math.max(newCount, 2 * this.storage.length));
        }
        chunk.copy(this.storage, this.byteCount);
        this.byteCount = newCount;
    }
}
