import { expect } from "chai";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import { responses } from "../support/responses.js";

/** Returns a response whose connection ends without an error after the given text. */
function endingAfter(text: string): UpstreamResponse {
    return {
        kind: "answered",
        head: { status: 200, headers: [] },
        isSigned: true,
        body: (async function*() {
            if (text !== "") {
                yield Buffer.from(text);
            }
        })(),
    };
}

const firstEvent = "id: 1\ndata: 1\n\n";
const secondEvent = "id: 2\ndata: 2\n\n";
const truncatedStreams: ReadonlyArray<[string, string]> = [
    ["inside a line of an event", `${firstEvent}id: 2\nda`],
    ["after a line of an event", `${firstEvent}id: 2\ndata: 2\n`],
    ["inside its first event", "id: 1\n"],
    ["before its first event", ""],
];

describe("a stream whose connection ends", () => {
    let rig: ForwarderRig;

    beforeEach(() => {
        rig = ForwarderRig.create();
        rig.configure();
        for (const [index, id] of ["g1", "g2"].entries()) {
            const group = { name: id, epoch: index + 1, rank: 0, phase: "open" as const };
            rig.directory.set(exampleUpstream(id, { model: "large", group }));
        }
    });

    afterEach(() => rig.close());

    for (const [title, text] of truncatedStreams) {
        it(`${title} is resumed at another group`, async () => {
            const hasFirst = text.startsWith(firstEvent);
            rig.client.script(() => endingAfter(text), () => responses.stream(hasFirst ? 2 : 1, 2));
            const response = rig.send();
            await rig.clock.advance(100);
            expect([response.text, response.ending]).to.deep.equal([firstEvent + secondEvent, "complete"]);
            expect(rig.client.sent.map(({ call }) => call.resumeAfter)).to.deep.equal([
                undefined,
                hasFirst ? "1" : undefined,
            ]);
        });

        it(`${title} does not look complete if it may not be resumed`, async () => {
            rig.configure({ isResumable: false }, 2);
            rig.client.script(() => endingAfter(text));
            const response = rig.send();
            await rig.clock.advance(100);
            const hasFailed = response.ending === "incomplete" || response.refusal?.kind === "outcome-unknown";
            expect(hasFailed).to.equal(true);
            expect(response.text).to.equal(text.startsWith(firstEvent) ? firstEvent : "");
        });
    }

    it("after its last event is complete", async () => {
        rig.client.script(() => endingAfter(firstEvent + secondEvent));
        const response = rig.send();
        await rig.clock.advance(100);
        expect([response.text, response.ending]).to.deep.equal([firstEvent + secondEvent, "complete"]);
    });

    it("without an event is complete if it was resumed after its last event", async () => {
        rig.client.script(() => endingAfter(""));
        const response = rig.send({ lastEventId: "7" });
        await rig.clock.advance(100);
        expect([response.status, response.text, response.ending]).to.deep.equal([200, "", "complete"]);
    });

    const errorText = "HTTP/1.1 500 Oops\r\n\r\nid: 9\ndata: error\n\n";
    const errors: ReadonlyArray<[string, () => UpstreamResponse]> = [
        ["an error response", () => responses.complete(500, errorText)],
        ["a 404", () => responses.complete(404, errorText)],
        ["an error response without a signature", () => responses.complete(503, errorText, false)],
        ["a success without a signature", () => responses.complete(200, errorText, false)],
        ["an error response that breaks off", () => ({ ...responses.truncated(), head: { status: 502, headers: [] } })],
    ];
    for (const [title, respond] of errors) {
        it(`shows its caller nothing of ${title} of the next group, and does not look complete`, async () => {
            rig.client.script(() => endingAfter(`${firstEvent}id: 2\nda`), respond);
            const response = rig.send();
            await rig.clock.advance(8000);
            expect([response.status, response.text, response.ending]).to.deep.equal([200, firstEvent, "incomplete"]);
        });
    }
});
