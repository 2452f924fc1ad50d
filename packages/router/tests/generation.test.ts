import type { TimelineEventKind } from "@fescuehaven/telemetry";
import { expect } from "chai";
import { readChatStream } from "./support/responses.js";
import { helloPrompt, RouterFixture } from "./support/RouterFixture.js";
import { type EngineScript, expectedText, ScriptedEngine } from "./support/ScriptedEngine.js";
import { waitFor } from "./support/waitFor.js";

describe("generation under failure", () => {
    let engines: ScriptedEngine[];
    let fixture: RouterFixture;

    beforeEach(async () => {
        engines = [await ScriptedEngine.start(), await ScriptedEngine.start()];
        fixture = RouterFixture.create();
        engines.forEach((engine, index) => fixture.addGroup(`g${index}`, { url: engine.url }));
    });

    afterEach(async () => {
        await fixture.stop();
        await Promise.all(engines.map(engine => engine.stop()));
    });

    /** Sets the scripts of the next calls in order, whichever engine receives them. */
    function script(...scripts: EngineScript[]): void {
        const shared = [...scripts];
        for (const engine of engines) {
            engine.scripts.shift = () => shared.shift();
        }
    }

    function allCalls() {
        return engines.flatMap(engine => engine.calls);
    }

    const recoverableFailures: Array<
        { name: string; scripts: EngineScript[]; event?: TimelineEventKind; reason?: string; }
    > = [
        { name: "a stream cut after 3 tokens", scripts: [{ breakAfter: 3 }], event: "request-resumed" },
        { name: "a stream cut before the first token", scripts: [{ breakAfter: 0 }], event: "request-retried" },
        { name: "a stream cut after the last token", scripts: [{ breakAfter: 8 }], event: "request-resumed" },
        { name: "a stream cut three times", scripts: [{ breakAfter: 2 }, { breakAfter: 1 }, { breakAfter: 3 }] },
        { name: "doubled tokens", scripts: [{ double: true }], event: "answer-dropped", reason: "doubled" },
        { name: "crossed tokens", scripts: [{ cross: true }], event: "answer-dropped", reason: "crossed" },
        {
            name: "crossed and doubled tokens and a cut stream",
            scripts: [{ cross: true, double: true, breakAfter: 4 }],
        },
        { name: "a missing token", scripts: [{ skip: 4 }], event: "request-resumed", reason: "token-missing" },
        {
            name: "a wrong token count",
            scripts: [{ wrongCount: true }],
            event: "request-resumed",
            reason: "token-count",
        },
        {
            name: "an old epoch",
            scripts: [{ refuse: { status: 409, error: "wrong-epoch" } }],
            event: "request-retried",
            reason: "wrong-epoch",
        },
        { name: "overload", scripts: [{ refuse: { status: 503, error: "overloaded" } }], event: "request-retried" },
    ];
    for (const { name, scripts, event, reason } of recoverableFailures) {
        it(`sends each token once and in order after ${name}`, async () => {
            script(...scripts);
            const pending = fixture.chat({ stream: true, max_tokens: 8 });
            await waitFor("the attempts", () => allCalls().length > scripts.length - 1);
            await fixture.clock.advance(500);
            const response = await pending;
            expect(readChatStream(response.payload)).to.deep.equal({
                text: expectedText(helloPrompt, 8),
                isDone: true,
            });
            if (event !== undefined) {
                const reasons = fixture.events.ofKind(event).map(item => item.reason);
                expect(reasons).to.not.be.empty;
                expect(reasons).to.include(reason ?? reasons[0]);
            }
        });
    }

    it("resumes at the token offset on another group of the same version", async () => {
        script({ breakAfter: 3 });
        await fixture.chat({ max_tokens: 8 });
        const [first, second] = engines[0]?.calls[0]?.resumeFromToken === 0 ? engines : [...engines].reverse();
        expect(first?.calls.map(call => call.resumeFromToken)).to.deep.equal([0]);
        expect(second?.calls.map(call => call.resumeFromToken)).to.deep.equal([3]);
        expect(second?.calls[0]?.attemptId).to.not.equal(first?.calls[0]?.attemptId);
    });

    it("abandons a silent stream and resumes it elsewhere", async () => {
        script({ silentAfter: 2 });
        const pending = fixture.chat({ max_tokens: 6 });
        await waitFor("the first attempt", () => allCalls().length === 1);
        await fixture.clock.advance(5000);
        const response = await pending;
        expect(response.payload).to.contain(expectedText(helloPrompt, 6));
        expect(allCalls().map(call => call.resumeFromToken)).to.deep.equal([0, 2]);
        await waitFor("the cancel", () => engines.some(engine => engine.cancelled.length === 1));
    });

    it("invalidates the evidence of a group whose engine follows another epoch", async () => {
        script({ refuse: { status: 409, error: "wrong-epoch" } });
        await fixture.chat();
        expect(fixture.evidence.invalidated).to.have.length(1);
        expect(fixture.evidence.readyGroups()).to.have.length(1);
    });

    it("sends nothing to a group that closed between admission and dispatch", async () => {
        fixture.evidence.close("g1");
        const listReady = fixture.evidence.readyGroups.bind(fixture.evidence);
        fixture.evidence.readyGroups = () => {
            const groups = listReady();
            if (fixture.events.ofKind("request-queued").length > 0) {
                fixture.evidence.close("g0");
            }
            return groups;
        };
        const pending = fixture.chat();
        await fixture.clock.advance(5000);
        const response = await pending;
        expect(response.statusCode).to.equal(503);
        expect(response.json()).to.have.nested.property("error.ran", "no");
        expect(response.headers["retry-after"]).to.equal("1");
        expect(fixture.events.ofKind("request-retried")[0]).to.include({ reason: "group-closed" });
        expect(allCalls()).to.have.length(0);
    });

    it("reports that a call ran when its broken response could not be resumed", async () => {
        fixture.evidence.close("g1");
        script({ breakAfter: 3 });
        const pending = fixture.chat({ stream: true, max_tokens: 8 });
        await waitFor("the attempt", () => allCalls().length === 1);
        fixture.evidence.close("g0");
        await waitFor("the break", () => fixture.events.ofKind("request-resumed").length === 1);
        await fixture.clock.advance(20_000);
        const streamed = readChatStream((await pending).payload);
        expect(streamed.text).to.equal(expectedText(helloPrompt, 3));
        expect(streamed.error).to.include({ type: "no-upstream", ran: "yes" });
    });

    it("refuses a call at its deadline and cancels its attempt", async () => {
        script({ hold: true });
        const pending = fixture.chat({}, { "x-timeout-ms": "700" });
        await waitFor("the attempt", () => allCalls().length === 1);
        await fixture.clock.advance(700);
        const response = await pending;
        expect(response.statusCode).to.equal(504);
        expect(response.json()).to.have.nested.property("error.ran", "unknown");
        await waitFor("the cancel", () => engines.some(engine => engine.cancelled.length === 1));
    });

    it("stops retrying when the budget of the client account is spent", async () => {
        script(...Array.from({ length: 1000 }, () => ({ breakAfter: 0 })));
        const pending = fixture.chat();
        let isFinished = false;
        void pending.then(() => {
            isFinished = true;
        });
        while (!isFinished) {
            await fixture.clock.advance(50);
        }
        expect((await pending).json()).to.have.nested.property("error.type", "no-upstream");
        expect(allCalls()).to.have.length(101);
    });
});
