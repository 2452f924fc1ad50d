import type { ResponseMemory } from "./ResponseMemory.js";

/** The process holds too many bytes of incomplete responses. */
class ResponseMemoryError extends Error {}

/** Bytes that arrive in chunks. Copies them: tiny chunks would take far more memory as buffers of their own. */
export class GrowingBuffer {
    private storage = Buffer.alloc(0);
    private byteCount = 0;
    private isEvicted = false;

    private constructor(private readonly memory?: ResponseMemory) {}

    /** Creates an empty buffer, whose memory counts towards a limit if there is one. Call `release` when it is not needed. */
    static create(memory?: ResponseMemory): GrowingBuffer {
        return new GrowingBuffer(memory);
    }

    /** Number of bytes that were appended. */
    get length(): number {
        return this.byteCount;
    }

    /** The bytes so far. Throws if the buffer has been dropped because of the limit. */
    get bytes(): Buffer {
        this.throwIfEvicted();
        return this.storage.subarray(0, this.byteCount);
    }

    /** Appends a chunk. Throws if the buffer has been dropped because of the limit. */
    append(chunk: Buffer): void {
        this.throwIfEvicted();
        const newCount = this.byteCount + chunk.length;
        if (newCount > this.storage.length) {
            const capacity = Math.max(newCount, 2 * this.storage.length);
            this.memory?.reserve(this, capacity);
            // Memory beyond what has arrived is not touched, so that it is not resident.
            const grown = Buffer.allocUnsafeSlow(capacity);
            this.storage.copy(grown, 0, 0, this.byteCount);
            this.storage = grown;
        }
        chunk.copy(this.storage, this.byteCount);
        this.byteCount = newCount;
    }

    /** Drops the bytes because of the limit. */
    evict(): void {
        this.isEvicted = true;
        this.storage = Buffer.alloc(0);
    }

    /** Ends the use of memory. The bytes stay valid. */
    release(): void {
        this.memory?.release(this);
    }

    private throwIfEvicted(): void {
        if (this.isEvicted) {
            throw new ResponseMemoryError("too many bytes of incomplete responses are held");
        }
    }
}
