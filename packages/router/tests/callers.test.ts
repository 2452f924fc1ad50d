import { expect } from "chai";
import { connect, type Socket } from "node:net";
import { errorOf } from "./support/responses.js";
import { RouterFixture } from "./support/RouterFixture.js";
import { ScriptedEngine } from "./support/ScriptedEngine.js";
import { waitFor } from "./support/waitFor.js";

const READINESS_LAG_MS = 1500;

describe("callers", () => {
    let engine: ScriptedEngine;
    let fixture: RouterFixture;
    let url: string;
    let socket: Socket | undefined;

    beforeEach(async () => {
        engine = await ScriptedEngine.start();
        fixture = RouterFixture.create({ settings: { callerStallMs: 20_000, readinessLagMs: READINESS_LAG_MS } });
        fixture.addGroup("g1", { url: engine.url });
        url = await fixture.router.server.listen("127.0.0.1", 0);
    });

    afterEach(async () => {
        socket?.destroy();
        await fixture.stop();
        await engine.stop();
    });

    function post(body: object, signal?: AbortSignal) {
        return fetch(`${url}/v1/chat/completions`, {
            method: "POST",
            headers: { "authorization": "Bearer key-small", "content-type": "application/json" },
            body: JSON.stringify({ model: "m", messages: [{ role: "user", content: "hello" }], ...body }),
            signal,
        });
    }

    it("cancels the attempt of a caller that disconnects", async () => {
        engine.scripts.push({ hold: true });
        const disconnect = new AbortController();
        const call = post({ stream: true }, disconnect.signal).catch(() => undefined);
        await waitFor("the call", () => engine.running === 1);
        disconnect.abort();
        await call;
        await waitFor("the end of the attempt", () => engine.running === 0);
        await waitFor("the cancel", () => engine.cancelled.length === 1);
    });

    it("completes calls in progress on shutdown, and refuses new ones at once", async () => {
        engine.scripts.push({ hold: true }, { hold: true });
        const before = post({ max_tokens: 5 });
        // Has no connection, so that only the router itself can wait for its end.
        const injectedBefore = fixture.chat();
        await waitFor("the calls", () => engine.running === 2);
        let isDrained = false;
        const drained = fixture.router.drain().then(() => {
            isDrained = true;
        });
        const ready = await fixture.router.server.http.inject({ url: "/readyz" });
        const refused = await fixture.chat();
        expect(ready.statusCode).to.equal(503);
        expect(errorOf(refused)).to.include({ type: "draining", ran: "no" });
        expect(refused.headers["retry-after"]).to.equal("1");
        await fixture.clock.advance(READINESS_LAG_MS);
        expect(isDrained).to.equal(false);
        engine.release();
        const response = await before;
        expect(response.status).to.equal(200);
        expect(await response.text()).to.contain("assistant");
        expect((await injectedBefore).statusCode).to.equal(200);
        await drained;
        expect(engine.calls).to.have.length(2);
    });

    it("applies back-pressure to an engine whose caller is slow, and aborts the call of a stalled caller", async () => {
        const maxTokens = 20_000;
        engine.scripts.push({ padding: 4000 });
        const { hostname, port } = new URL(url);
        const messages = [{ role: "user", content: "hello" }];
        const body = JSON.stringify({ model: "m", messages, max_tokens: maxTokens, stream: true });
        socket = connect(Number(port), hostname).pause();
        socket.write(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-small\r\n"
                + `content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
        await waitFor("the call", () => engine.running === 1);
        while (engine.running === 1) {
            await waitUntilStable(() => engine.isBlocked);
            await fixture.clock.advance(21_000);
        }
        expect(engine.tokensSent).to.be.lessThan(maxTokens);
        expect(fixture.events.ofKind("request-resumed")).to.have.length(0);
        await waitFor("the end", () => fixture.events.ofKind("request-broken").length === 1);
        expect(fixture.events.ofKind("request-broken")[0]).to.include({ reason: "caller-gone" });
    });

    /** Waits until a condition has held over many iterations of the event loop. */
    async function waitUntilStable(condition: () => boolean): Promise<void> {
        let iterations = 0;
        await waitFor("a steady state", () => {
            iterations = condition() ? iterations + 1 : 0;
            return iterations > 2000 || engine.running === 0;
        });
    }
});
