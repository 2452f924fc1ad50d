/** Whole events of a stream that have arrived. */
interface FramedEvents {
    bytes: Buffer;
    count: number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Cuts a stream of server-sent events at the ends of events, and remembers the id of the last one. */
export class EventFramer {
    private rest: Buffer = Buffer.alloc(0);
    private lastId: string | undefined;

    private constructor() {}

    /** Creates a framer at the start of a stream. */
    static create(): EventFramer {
        return new EventFramer();
    }

    /** Id of the last whole event. */
    get lastEventId(): string | undefined {
        return this.lastId;
    }

    /** True while the stream is in the middle of an event. */
    get hasRest(): boolean {
        return this.rest.length > 0;
    }

    /** Takes bytes; gives the whole events that they complete. */
    push(part: Buffer): FramedEvents | undefined {
        const bytes = this.rest.length > 0 ? Buffer.concat([this.rest, part]) : part;
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
        this.rest = Buffer.from(bytes.subarray(end));
        if (end === 0) {
            return undefined;
        }
        const whole = bytes.subarray(0, end);
        this.lastId = lastIdIn(whole) ?? this.lastId;
        return { bytes: whole, count };
    }
}

function lastIdIn(events: Buffer): string | undefined {
    const ids = [...events.toString("utf8").matchAll(/^id: ?(.*?)\r?$/gm)];
    return ids.at(-1)?.[1];
}
