import { expect } from "chai";
import { contentOf, errorOf, readChatStream } from "./support/responses.js";
import { helloPrompt, RouterFixture } from "./support/RouterFixture.js";
import { expectedText, ScriptedEngine } from "./support/ScriptedEngine.js";

describe("createRouter", () => {
    let engine: ScriptedEngine;
    let fixture: RouterFixture;

    beforeEach(async () => {
        engine = await ScriptedEngine.start();
        fixture = RouterFixture.create();
        fixture.addGroup("g1", { url: engine.url });
    });

    afterEach(async () => {
        await fixture.stop();
        await engine.stop();
    });

    it("sends a complete response to a chat call", async () => {
        const response = await fixture.chat({}, { "x-request-id": "r1" });
        expect(response.statusCode).to.equal(200);
        expect(contentOf(response)).to.equal(expectedText(helloPrompt, 5));
        expect(response.headers["x-request-id"]).to.equal("r1");
        expect(engine.calls[0]).to.include({ requestId: "r1", group: "g1", epoch: 1, priority: 5 });
    });

    it("streams the response to a chat call", async () => {
        const response = await fixture.chat({ stream: true });
        expect(response.headers["content-type"]).to.equal("text/event-stream");
        expect(readChatStream(response.payload)).to.deep.equal({ text: expectedText(helloPrompt, 5), isDone: true });
    });

    it("serves a plain service call", async () => {
        const response = await fixture.callService("quote");
        expect(response.statusCode).to.equal(200);
        expect(response.json()).to.deep.equal({ count: 1 });
    });

    const badCalls = [
        { name: "no key", headers: { authorization: "" }, body: {}, status: 401, type: "unauthorized" },
        { name: "an unknown key", headers: { authorization: "Bearer x" }, body: {}, status: 401, type: "unauthorized" },
        { name: "an unknown model", headers: {}, body: { model: "x" }, status: 404, type: "not-found" },
        { name: "a mistyped field", headers: {}, body: { max_tokens: "many" }, status: 400, type: "bad-request" },
        { name: "a bad timeout", headers: { "x-timeout-ms": "soon" }, body: {}, status: 400, type: "bad-request" },
        {
            name: "a large body",
            headers: {},
            body: { user: "x".repeat(2_000_000) },
            status: 413,
            type: "body-too-large",
        },
    ];
    for (const { name, headers, body, status, type } of badCalls) {
        it(`refuses a call with ${name} by ${status}, stating that it did not run`, async () => {
            const response = await fixture.chat(body, headers as Record<string, string>);
            expect(response.statusCode).to.equal(status);
            expect(errorOf(response)).to.include({ type, ran: "no" });
            expect(engine.calls).to.have.length(0);
        });
    }
});
