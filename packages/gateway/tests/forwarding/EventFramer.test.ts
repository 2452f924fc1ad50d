import { expect } from "chai";
import { EventFramer } from "../../src/forwarding/EventFramer.js";

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
});
