/** Consecutive complete events of a stream. */
interface FramedEvents {
    bytes: Buffer;
    count: number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Splits a stream of server-sent events at event boundaries and tracks the id of the last complete event. */
export class EventFramer {
    private remainder: Buffer = Buffer.alloc(0);
    private lastId: string | undefined;

    private constructor() {}

    /** Creates a framer for a new stream. */
    static create(): EventFramer {
        return new EventFramer();
    }

    /** Id of the last complete event that has one; undefined if there is none. */
    get lastEventId(): string | undefined {
        return this.lastId;
    }

    /** True if the data so far ends inside an event. */
    get hasPartialEvent(): boolean {
        return this.remainder.length > 0;
    }

    /** Appends a chunk and returns the events that it completes; undefined if it completes none. */
    push(chunk: Buffer): FramedEvents | undefined {
        const bytes = this.remainder.length > 0 ? Buffer.concat([this.remainder, chunk]) : chunk;
        let end = 0;
        let count = 0;
        let lineStart = 0;
        for (let index = bytes.indexOf(LINE_FEED); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
            const lineEnd = index > lineStart && bytes[index - 1] === CARRIAGE_RETURN ? index - 1 : index;
            if (lineEnd === lineStart) {
                end = index + 1;
                count += 1;
            }
            lineStart = index + 1;
        }
        this.remainder = Buffer.from(bytes.subarray(end));
        if (end === 0) {
            return undefined;
        }
        const completeBytes = bytes.subarray(0, end);
        this.lastId = lastIdIn(completeBytes) ?? this.lastId;
        return { bytes: completeBytes, count };
    }
}

function lastIdIn(events: Buffer): string | undefined {
    const ids = [...events.toString("utf8").matchAll(/^id: ?(.*?)\r?$/gm)];
    return ids.at(-1)?.[1];
}
