import { GrowingBuffer } from "./GrowingBuffer.js";
import type { ResponseMemory } from "./ResponseMemory.js";

/** Consecutive complete events of a stream. */
interface FramedEvents {
    bytes: Buffer;
    count: number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Events hold a few tokens each. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** An event does not end. */
class EventTooLongError extends Error {}

/** Splits a stream of server-sent events at event boundaries and tracks the id of the last complete event. */
export class EventFramer {
    /** Beginning of the next event. */
    private partialEvent: GrowingBuffer;
    /** Length of the line with which the data so far ends. */
    private partialLineLength = 0;
    private lastId: string | undefined;

    private constructor(private readonly memory?: ResponseMemory) {
        this.partialEvent = GrowingBuffer.create(memory);
    }

    /** Creates a framer for a new stream. Call `release` when the stream has ended. */
    static create(memory?: ResponseMemory): EventFramer {
        return new EventFramer(memory);
    }

    /** Ends the use of memory. */
    release(): void {
        this.partialEvent.release();
    }

    /** Id of the last complete event that has one; undefined if there is none. */
    get lastEventId(): string | undefined {
        return this.lastId;
    }

    /** True if the data so far ends inside an event. */
    get hasPartialEvent(): boolean {
        return this.partialEvent.length > 0;
    }

    /**
     * Appends a chunk and returns the events that it completes; undefined if it completes none. Throws if an event is too
     * long, or was dropped because all incomplete responses together are too long.
     */
    push(chunk: Buffer): FramedEvents | undefined {
        let end = 0;
        let count = 0;
        let lineStart = -this.partialLineLength;
        for (let index = chunk.indexOf(LINE_FEED); index >= 0; index = chunk.indexOf(LINE_FEED, index + 1)) {
            const lineLength = index - lineStart;
            if (lineLength === 0 || (lineLength === 1 && this.byteBefore(index, chunk) === CARRIAGE_RETURN)) {
                end = index + 1;
                count += 1;
            }
            lineStart = index + 1;
        }
        this.partialLineLength = chunk.length - lineStart;
        if (end === 0) {
            this.appendPartial(chunk);
            return undefined;
        }
        const bytes = this.partialEvent.length > 0
            ? Buffer.concat([this.partialEvent.bytes, chunk.subarray(0, end)])
            : chunk.subarray(0, end);
        this.partialEvent.release();
        this.partialEvent = GrowingBuffer.create(this.memory);
        this.appendPartial(chunk.subarray(end));
        this.lastId = lastIdIn(bytes) ?? this.lastId;
        return { bytes, count };
    }

    private byteBefore(index: number, chunk: Buffer): number | undefined {
        return index > 0 ? chunk[index - 1] : this.partialEvent.bytes.at(-1);
    }

    private appendPartial(bytes: Buffer): void {
        if (this.partialEvent.length + bytes.length > MAX_EVENT_BYTES) {
            throw new EventTooLongError(`an event is longer than ${MAX_EVENT_BYTES} bytes`);
        }
        this.partialEvent.append(bytes);
    }
}

function lastIdIn(events: Buffer): string | undefined {
    const ids = [...events.toString("utf8").matchAll(/^id: ?(.*?)\r?$/gm)];
    return ids.at(-1)?.[1];
}
