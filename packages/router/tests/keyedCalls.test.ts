import { expect } from "chai";
import type { Socket } from "node:net";
import { errorOf } from "./support/responses.js";
import { RouterFixture } from "./support/RouterFixture.js";
import { waitFor } from "./support/waitFor.js";

describe("keyed calls", () => {
    let fixture: RouterFixture;

    beforeEach(() => {
        fixture = RouterFixture.create();
    });

    afterEach(async () => {
        await fixture.stop();
    });

    function book(key = "k1", headers: Record<string, string> = {}, payload = "{}") {
        const issuedAt = fixture.clock.now().toISOString();
        return fixture.callService("booking", { "issued-at": issuedAt, "idempotency-key": key, ...headers }, payload);
    }

    it("runs a call once and sends a repeat the same complete response", async () => {
        const first = await book();
        const repeat = await book();
        expect(first.statusCode).to.equal(200);
        expect(repeat.payload).to.equal(first.payload);
        expect(fixture.service.executions).to.have.length(1);
    });

    it("never resends a call whose outcome is unknown, and keeps its claim", async () => {
        fixture.service.steps.push("outcome-unknown");
        expect(errorOf(await book())).to.include({ type: "outcome-unknown", ran: "unknown" });
        expect(errorOf(await book())).to.include({ type: "key-in-use", ran: "unknown" });
        expect(fixture.service.executions).to.have.length(1);
    });

    it("tries another endpoint under the same claim after a refusal without execution", async () => {
        fixture.service.steps.push("did-not-run");
        const pending = book();
        await fixture.clock.advance(100);
        expect((await pending).statusCode).to.equal(200);
        expect(fixture.service.executions).to.have.length(1);
    });

    it("releases the claim of a call that was not sent, and then reports that it did not run", async () => {
        fixture.configuration.put("service", "dispatch", {
            endpoints: [{
                name: "one",
                zone: "zone-z",
                url: "http://one.invalid",
                maxConcurrentRequests: 1,
                coldConcurrentRequests: 1,
            }],
        });
        const pending = book();
        await fixture.clock.advance(3000);
        expect(errorOf(await pending)).to.include({ type: "no-upstream", ran: "no" });
        expect(fixture.journal.records.size).to.equal(0);
    });

    it("refuses a call at once while the journal is down, without stating that an earlier one did not run", async () => {
        await book();
        fixture.journal.outage = true;
        const response = await book();
        expect(errorOf(response)).to.include({ type: "journal-unavailable", ran: "unknown", retryAfterMs: 1500 });
        expect(response.headers["retry-after"]).to.equal("2");
        expect(fixture.service.executions).to.have.length(1);
    });

    it("sends nothing when the response to its claim is lost, and releases the key for a repeat", async () => {
        fixture.journal.loseNextClaims = 1;
        expect(errorOf(await book())).to.include({ type: "journal-unavailable", ran: "unknown" });
        expect(fixture.service.executions).to.have.length(0);
        expect((await book()).statusCode).to.equal(200);
    });

    it("refuses a call at its deadline whose claim gets no response, and releases the key", async () => {
        fixture.journal.isSilent = true;
        const pending = book("k1", { "x-timeout-ms": "300" });
        await fixture.clock.advance(300);
        expect(errorOf(await pending)).to.include({ type: "journal-unavailable", ran: "unknown" });
        expect(fixture.service.executions).to.have.length(0);
        expect(fixture.journal.records.size).to.equal(0);
    });

    it("reports that a call ran whose response is no longer kept", async () => {
        fixture.journal.dropResponses = true;
        await book();
        expect(errorOf(await book())).to.include({ type: "answer-no-longer-held", ran: "yes" });
    });

    it("sends nothing, and states an unknown outcome, when the key's record may have been lost", async () => {
        fixture.journal.isIncomplete = true;
        expect(errorOf(await book())).to.include({ type: "record-lost", ran: "unknown" });
        expect(fixture.service.executions).to.have.length(0);
    });

    it("refuses different content under a used key", async () => {
        await book("k1", {}, '{"hull":1}');
        expect(errorOf(await book("k1", {}, '{"hull":2}'))).to.include({ type: "key-mismatch" });
        expect(fixture.service.executions).to.have.length(1);
    });

    it("completes a call whose caller disconnects, so that a repeat finds the response", async () => {
        fixture.service.steps.push("hold");
        const disconnect = new AbortController();
        let isClosed = false;
        fixture.router.server.http.server.once("connection", (socket: Socket) => {
            socket.once("close", () => {
                isClosed = true;
            });
        });
        const url = await fixture.router.server.listen("127.0.0.1", 0);
        const call = fetch(`${url}/v1/services/booking`, {
            method: "POST",
            headers: {
                "authorization": "Bearer key-small",
                "idempotency-key": "k1",
                "issued-at": fixture.clock.now().toISOString(),
                "content-type": "application/json",
            },
            body: "{}",
            signal: disconnect.signal,
        }).catch(() => undefined);
        await waitFor("the call", () => fixture.service.executions.length === 1);
        disconnect.abort();
        await call;
        await waitFor("the end of the connection", () => isClosed);
        await fixture.clock.settle();
        fixture.service.release();
        await waitFor("the record", () => fixture.events.ofKind("key-finished").length === 1);
        expect((await book()).json()).to.deep.equal({ count: 1 });
    });

    it("refuses a sent call at its deadline with an unknown outcome", async () => {
        fixture.service.steps.push("hold");
        const pending = book("k1", { "x-timeout-ms": "300" });
        await waitFor("the call", () => fixture.service.executions.length === 1);
        await fixture.clock.advance(300);
        const response = await pending;
        expect(errorOf(response)).to.include({ type: "deadline", ran: "unknown", retryAfterMs: 1000 });
        expect(response.headers["retry-after"]).to.equal("1");
    });

    const day = 86_400_000;
    const issuedAtCases = [
        { name: "no issued-at", offsetMs: undefined, type: "missing-issued-at", status: 400 },
        { name: "an issued-at that is not a time", text: "today", type: "missing-issued-at", status: 400 },
        { name: "an issued-at older than the retention", offsetMs: -day - 1, type: "issued-too-long-ago", status: 409 },
        {
            name: "an issued-at within the clock error of the retention",
            offsetMs: -day + 59_999,
            type: "issued-too-long-ago",
            status: 409,
        },
        { name: "an issued-at far in the future", offsetMs: 60_001, type: "issued-in-future", status: 400 },
    ];
    for (const { name, offsetMs, text, type, status } of issuedAtCases) {
        it(`does not run a call with ${name}, nor states that an earlier one did not run`, async () => {
            const issuedAt = text
                ?? (offsetMs === undefined
                    ? undefined
                    : new Date(fixture.clock.now().getTime() + offsetMs).toISOString());
            const headers: Record<string, string> = { "idempotency-key": "k1" };
            if (issuedAt !== undefined) {
                headers["issued-at"] = issuedAt;
            }
            const response = await fixture.callService("booking", headers);
            expect(response.statusCode).to.equal(status);
            expect(errorOf(response)).to.include({ type, ran: "unknown" });
            expect(fixture.service.executions).to.have.length(0);
        });
    }

    it("runs a call whose age is exactly the longest allowed", async () => {
        const issuedAt = new Date(fixture.clock.now().getTime() - day + 60_000).toISOString();
        expect((await book("k1", { "issued-at": issuedAt })).statusCode).to.equal(200);
    });

    function uuidV7(time: Date): string {
        const digits = time.getTime().toString(16).padStart(12, "0");
        return `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-000000000001`;
    }

    it("uses the time in the key, whatever the header of a repeat states", async () => {
        const now = fixture.clock.now();
        const recent = await fixture.callService("booking", { "idempotency-key": uuidV7(now) });
        expect(recent.statusCode).to.equal(200);
        const expiredKey = uuidV7(new Date(now.getTime() - day));
        expect(errorOf(await book(expiredKey))).to.include({ type: "issued-too-long-ago", ran: "unknown" });
        expect(fixture.service.executions).to.have.length(1);
    });

    it("refuses a call without a key", async () => {
        const response = await fixture.callService("booking", { "issued-at": fixture.clock.now().toISOString() });
        expect(errorOf(response)).to.include({ type: "missing-idempotency-key", ran: "no" });
    });

    it("retries a repeatable call after an unknown outcome", async () => {
        fixture.service.steps.push("outcome-unknown");
        const pending = fixture.callService("quote");
        await fixture.clock.advance(100);
        expect((await pending).statusCode).to.equal(200);
        expect(fixture.service.executions.map(execution => execution.url)).to.have.length(2);
        expect(new Set(fixture.service.executions.map(execution => execution.url)).size).to.equal(2);
    });
});
