import { expect } from "chai";
import { EventFramer } from "../../src/forwarding/EventFramer.js";

const MAX_EVENT_BYTES = 1024 * 1024;
/** Callers give up a stream that pauses for two seconds. */
const MAX_EVENT_DURATION_MS = 2000;

const cases: ReadonlyArray<
    { title: string; chunks: string[]; completeEvents: string; lastId?: string; hasPartialEvent: boolean; }
> = [
    {
        title: "one event",
        chunks: ["id: 1\ndata: a\n\n"],
        completeEvents: "id: 1\ndata: a\n\n",
        lastId: "1",
        hasPartialEvent: false,
    },
    {
        title: "an event in several chunks",
        chunks: ["id: 1\nda", "ta: a\n", "\n"],
        completeEvents: "id: 1\ndata: a\n\n",
        lastId: "1",
        hasPartialEvent: false,
    },
    {
        title: "several events followed by a partial one",
        chunks: ["id:1\ndata:a\n\nid:2\ndata:b\n\nid:3\nda"],
        completeEvents: "id:1\ndata:a\n\nid:2\ndata:b\n\n",
        lastId: "2",
        hasPartialEvent: true,
    },
    {
        title: "CRLF line ends",
        chunks: ["id: 4\r\ndata: a\r", "\n\r\n"],
        completeEvents: "id: 4\r\ndata: a\r\n\r\n",
        lastId: "4",
        hasPartialEvent: false,
    },
    {
        title: "an event without an id",
        chunks: ["data: a\n\n"],
        completeEvents: "data: a\n\n",
        lastId: undefined,
        hasPartialEvent: false,
    },
    {
        title: "a partial event",
        chunks: ["id: 9\ndata: a\n"],
        completeEvents: "",
        lastId: undefined,
        hasPartialEvent: true,
    },
    { title: "no data", chunks: [], completeEvents: "", lastId: undefined, hasPartialEvent: false },
];

describe("EventFramer", () => {
    for (const { title, chunks, completeEvents, lastId, hasPartialEvent } of cases) {
        it(`frames ${title}`, () => {
            const framer = EventFramer.create();
            const framed = chunks.map(chunk => framer.push(Buffer.from(chunk))?.bytes.toString() ?? "").join("");
            expect({ framed, lastId: framer.lastEventId, hasPartialEvent: framer.hasPartialEvent }).to.deep.equal({
                framed: completeEvents,
                lastId,
                hasPartialEvent,
            });
        });
    }

    it("frames the same events however they are divided into chunks", () => {
        const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n: c\n\nid:3\ndata:d\ndata: e\n\nid: 4\nda";
        for (let size = 1; size <= text.length; size++) {
            const framer = EventFramer.create();
            let framed = "";
            let count = 0;
            for (let start = 0; start < text.length; start += size) {
                const events = framer.push(Buffer.from(text.slice(start, start + size)));
                framed += events?.bytes.toString() ?? "";
                count += events?.count ?? 0;
            }
            expect({ framed, count, lastId: framer.lastEventId, isPartial: framer.hasPartialEvent }, `size ${size}`)
                .to.deep.equal({
                    framed: text.slice(0, text.lastIndexOf("id: 4")),
                    count: 5,
                    lastId: "3",
                    isPartial: true,
                });
        }
    });

    it("takes time in proportion to the size of an event that arrives in many pieces", () => {
        const event = Buffer.from(`id: 1\ndata: ${"x".repeat(MAX_EVENT_BYTES - 100)}\n\n`);
        const framer = EventFramer.create();
        const startMs = performance.now();
        let framed: Buffer | undefined;
        for (let start = 0; start < event.length; start += 16) {
            framed = framer.push(event.subarray(start, start + 16))?.bytes;
        }
        const durationMs = performance.now() - startMs;
        expect(framed?.equals(event)).to.equal(true);
        expect(durationMs, "duration in ms").to.be.lessThan(MAX_EVENT_DURATION_MS);
    });

    it("rejects an event that does not end", () => {
        const framer = EventFramer.create();
        const chunk = Buffer.alloc(1000, "x");
        const pushAll = () => {
            for (let bytes = 0; bytes < 2 * MAX_EVENT_BYTES; bytes += chunk.length) {
                framer.push(chunk);
            }
        };
        expect(pushAll).to.throw("event is longer than");
    });

    it("does not limit the number of events", () => {
        const framer = EventFramer.create();
        const event = Buffer.from(`data: ${"x".repeat(1000)}\n\n`);
        let count = 0;
        for (let bytes = 0; bytes < 2 * MAX_EVENT_BYTES; bytes += event.length) {
            count += framer.push(event)?.count ?? 0;
        }
        expect(count).to.equal(Math.ceil(2 * MAX_EVENT_BYTES / event.length));
    });
});
