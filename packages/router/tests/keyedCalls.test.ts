import { expect } from "chai";
import type { Socket } from "node:net";
import { errorOf } from "./support/answers.js";
import { RouterFixture } from "./support/RouterFixture.js";
import { waitFor } from "./support/waitFor.js";

describe("calls that may not be repeated", () => {
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

    it("runs a call once and gives a repeat the same whole answer", async () => {
        const first = await book();
        const repeat = await book();
        expect(first.statusCode).to.equal(200);
        expect(repeat.payload).to.equal(first.payload);
        expect(fixture.service.executions).to.have.length(1);
    });

    it("never sends a call again whose outcome is unknown, and keeps its claim", async () => {
        fixture.service.steps.push("outcome-unknown");
        expect(errorOf(await book())).to.include({ type: "outcome-unknown", ran: "unknown" });
        expect(errorOf(await book())).to.include({ type: "key-in-use", ran: "unknown" });
        expect(fixture.service.executions).to.have.length(1);
    });

    it("tries another endpoint under the same claim after a refusal that did not run", async () => {
        fixture.service.steps.push("did-not-run");
        const pending = book();
        await fixture.clock.advance(100);
        expect((await pending).statusCode).to.equal(200);
        expect(fixture.service.executions).to.have.length(1);
    });

    it("releases a claim of which nothing was sent, and then says that the call did not run", async () => {
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

    it("refuses a call at once while the journal is down, without claiming that an earlier one did not run", async () => {
        await book();
        fixture.journal.outage = true;
        const response = await book();
        expect(errorOf(response)).to.include({ type: "journal-unavailable", ran: "unknown", retryAfterMs: 1500 });
        expect(response.headers["retry-after"]).to.equal("2");
        expect(fixture.service.executions).to.have.length(1);
    });

    it("sends nothing when the claim's answer was lost, and frees the key for a repeat", async () => {
        fixture.journal.loseNextClaims = 1;
        expect(errorOf(await book())).to.include({ type: "journal-unavailable", ran: "unknown" });
        expect(fixture.service.executions).to.have.length(0);
        expect((await book()).statusCode).to.equal(200);
    });

    it("answers at its deadline a call whose claim is never answered, and frees the key", async () => {
        fixture.journal.isSilent = true;
        const pending = book("k1", { "x-timeout-ms": "300" });
        await fixture.clock.advance(300);
        expect(errorOf(await pending)).to.include({ type: "journal-unavailable", ran: "unknown" });
        expect(fixture.service.executions).to.have.length(0);
        expect(fixture.journal.records.size).to.equal(0);
    });

    it("says that a call ran whose answer is no longer held", async () => {
        fixture.journal.dropAnswers = true;
        await book();
        expect(errorOf(await book())).to.include({ type: "answer-no-longer-held", ran: "yes" });
    });

    it("refuses another content under a used key", async () => {
        await book("k1", {}, '{"hull":1}');
        expect(errorOf(await book("k1", {}, '{"hull":2}'))).to.include({ type: "key-mismatch" });
        expect(fixture.service.executions).to.have.length(1);
    });

    it("runs a call on when its caller goes, so that a repeat finds the answer", async () => {
        fixture.service.steps.push("hold");
        const gone = new AbortController();
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
            signal: gone.signal,
        }).catch(() => undefined);
        await waitFor("the call", () => fixture.service.executions.length === 1);
        gone.abort();
        await call;
        await waitFor("the end of the connection", () => isClosed);
        await fixture.clock.settle();
        fixture.service.release();
        await waitFor("the record", () => fixture.events.ofKind("key-finished").length === 1);
        expect((await book()).json()).to.deep.equal({ count: 1 });
    });

    it("gives a call whose caller's deadline passes its answer at once, as unknown", async () => {
        fixture.service.steps.push("hold");
        const pending = book("k1", { "x-timeout-ms": "300" });
        await waitFor("the call", () => fixture.service.executions.length === 1);
        await fixture.clock.advance(300);
        const answer = await pending;
        expect(errorOf(answer)).to.include({ type: "deadline", ran: "unknown", retryAfterMs: 1000 });
        expect(answer.headers["retry-after"]).to.equal("1");
    });

    const day = 86_400_000;
    const rules = [
        { name: "no issued-at", offsetMs: undefined, type: "missing-issued-at", status: 400 },
        { name: "an issued-at that is no time", text: "today", type: "missing-issued-at", status: 400 },
        { name: "an issued-at older than the retention", offsetMs: -day - 1, type: "issued-too-long-ago", status: 409 },
        {
            name: "an issued-at within the clock error of the retention",
            offsetMs: -day + 59_999,
            type: "issued-too-long-ago",
            status: 409,
        },
        { name: "an issued-at far in the future", offsetMs: 60_001, type: "issued-in-future", status: 400 },
    ];
    for (const { name, offsetMs, text, type, status } of rules) {
        it(`does not run a call with ${name}, nor claims that an earlier one did not`, async () => {
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

    it("runs a call that is just young enough", async () => {
        const issuedAt = new Date(fixture.clock.now().getTime() - day + 60_000).toISOString();
        expect((await book("k1", { "issued-at": issuedAt })).statusCode).to.equal(200);
    });

    function uuidV7(time: Date): string {
        const digits = time.getTime().toString(16).padStart(12, "0");
        return `${digits.slice(0, 8)}-${digits.slice(8)}-7000-8000-000000000001`;
    }

    it("takes the time that a key holds, whatever a repeat says", async () => {
        const now = fixture.clock.now();
        const young = await fixture.callService("booking", { "idempotency-key": uuidV7(now) });
        expect(young.statusCode).to.equal(200);
        const old = uuidV7(new Date(now.getTime() - day));
        expect(errorOf(await book(old))).to.include({ type: "issued-too-long-ago", ran: "unknown" });
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
