import { expect } from "chai";
import { EventFramer } from "../../src/forwarding/EventFramer.js";

const cases: ReadonlyArray<{ title: string; parts: string[]; whole: string; lastId?: string; hasRest: boolean; }> = [
    { title: "one event", parts: ["id: 1\ndata: a\n\n"], whole: "id: 1\ndata: a\n\n", lastId: "1", hasRest: false },
    {
        title: "an event in parts",
        parts: ["id: 1\nda", "ta: a\n", "\n"],
        whole: "id: 1\ndata: a\n\n",
        lastId: "1",
        hasRest: false,
    },
    {
        title: "several events and the beginning of one",
        parts: ["id:1\ndata:a\n\nid:2\ndata:b\n\nid:3\nda"],
        whole: "id:1\ndata:a\n\nid:2\ndata:b\n\n",
        lastId: "2",
        hasRest: true,
    },
    {
        title: "line ends of two bytes",
        parts: ["id: 4\r\ndata: a\r", "\n\r\n"],
        whole: "id: 4\r\ndata: a\r\n\r\n",
        lastId: "4",
        hasRest: false,
    },
    {
        title: "an event without an id",
        parts: ["data: a\n\n"],
        whole: "data: a\n\n",
        lastId: undefined,
        hasRest: false,
    },
    { title: "half an event", parts: ["id: 9\ndata: a\n"], whole: "", lastId: undefined, hasRest: true },
    { title: "nothing", parts: [], whole: "", lastId: undefined, hasRest: false },
];

describe("EventFramer", () => {
    for (const { title, parts, whole, lastId, hasRest } of cases) {
        it(`frames ${title}`, () => {
            const framer = EventFramer.create();
            const framed = parts.map(part => framer.push(Buffer.from(part))?.bytes.toString() ?? "").join("");
            expect({ framed, lastId: framer.lastEventId, hasRest: framer.hasRest }).to.deep.equal({
                framed: whole,
                lastId,
                hasRest,
            });
        });
    }
});
