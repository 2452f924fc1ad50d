import { JournalService } from "@fescuehaven/protocol";
import type { JournalShard } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import { JournalRouters, ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import type { Journal, JournalClaim, JournalResponse } from "../../src/index.js";

const HOUR_MS = 3_600_000;
const never = new AbortController().signal;
const response: JournalResponse = { status: 200, contentType: "application/json", body: new Uint8Array([1, 2, 3]) };

function claimOf(claimant: string, overrides: Partial<JournalClaim> = {}): JournalClaim {
    return {
        clientAccount: "diving",
        route: "booking",
        idempotencyKey: "key-1",
        claimant,
        requestDigest: "digest",
        issuedAt: new Date("2026-01-01T00:00:00Z"),
        ...overrides,
    };
}

function recordsOf(routers: JournalRouters): JournalShard["records"][string][] {
    const shard = `${Date.parse("2026-01-01T00:00:00Z")}-0`;
    const value = routers.store.peek("journal-shard", shard)?.value as JournalShard | undefined;
    return Object.values(value?.records ?? {});
}

/** Returns the index of the router that owns the only shard, and that of another. */
async function ownerAndOther(routers: JournalRouters): Promise<[number, number]> {
    const calls: string[] = [];
    routers.network.onCall = (_from, to) => calls.push(to);
    const probes = routers.journals.map((journal, index) =>
        journal.claim(claimOf(`probe-${index}`, { idempotencyKey: `probe-${index}` }), never)
    );
    await routers.until(Promise.all(probes));
    routers.network.onCall = () => {};
    const owner = routers.names.indexOf(calls[0] ?? "");
    return [owner, routers.names.findIndex((_, index) => index !== owner)];
}

/** Creates two routers, one of whose clocks is ahead by the largest allowed difference. */
function routersWithFastClock(fastIndex: number): { routers: JournalRouters; slow: Journal; } {
    const clockErrorMs = 60_000;
    const clock = ManualClock.create();
    const fast: Clock = {
        now: () => new Date(clock.now().getTime() + clockErrorMs),
        monotonicMs: () => clock.monotonicMs(),
        sleep: (durationMs, signal) => clock.sleep(durationMs, signal),
    };
    const settings = { retentionMs: HOUR_MS, clockErrorMs, bucketMs: 1000 };
    const clockOf = (index: number) => index === fastIndex ? fast : clock;
    const routers = JournalRouters.create({ routerCount: 2, settings, clock, clockOf });
    return { routers, slow: routers.journals[1 - fastIndex]! };
}

describe("Journal", () => {
    it("claims a key once, and serves its repeat at another router from the record", async () => {
        const routers = JournalRouters.create({ routerCount: 2 });
        const [one, other] = routers.journals;
        expect(await routers.until(one!.claim(claimOf("a"), never))).to.deep.equal({ kind: "claimed" });
        expect(await routers.until(other!.claim(claimOf("b"), never))).to.deep.equal({ kind: "held-by-other" });
        expect(await routers.until(one!.finish(claimOf("a"), response))).to.deep.equal({ kind: "recorded" });
        for (const journal of routers.journals) {
            expect(await routers.until(journal.claim(claimOf("c"), never))).to.deep.equal({
                kind: "finished",
                response,
            });
        }
    });

    it("refuses a key that was used with different content", async () => {
        const routers = JournalRouters.create({ routerCount: 1 });
        await routers.until(routers.journals[0]!.claim(claimOf("a"), never));
        const repeat = routers.journals[0]!.claim(claimOf("b", { requestDigest: "other" }), never);
        expect(await routers.until(repeat)).to.deep.equal({ kind: "mismatched-request" });
    });

    it("writes the claims of all routers in a few updates", async () => {
        const routers = JournalRouters.create({ routerCount: 3 });
        routers.store.faults.delayMs = 20;
        const claims = Array.from(
            { length: 300 },
            (_, index) =>
                routers.journals[index % 3]!.claim(
                    claimOf(`a-${index}`, { idempotencyKey: `key-${index}` }),
                    new AbortController().signal,
                ),
        );
        const outcomes = await routers.until(Promise.all(claims));
        expect(outcomes.filter(outcome => outcome.kind === "claimed")).to.have.length(300);
        expect(routers.store.calls.write).to.be.at.most(4);
    });

    const losses = [
        { name: "answer", fault: "loseNextAnswers" },
        { name: "update", fault: "loseNextWrites" },
    ] as const;
    for (const { name, fault } of losses) {
        it(`resolves a claim, its response and a release by reading back when the ${name} was lost`, async () => {
            const routers = JournalRouters.create({ routerCount: 1 });
            const journal = routers.journals[0]!;
            routers.store.faults[fault] = 1;
            expect(await routers.until(journal.claim(claimOf("a"), never))).to.deep.equal({ kind: "claimed" });
            expect(recordsOf(routers)).to.have.nested.property("[0].claimant", "a");
            routers.store.faults[fault] = 1;
            expect(await routers.until(journal.finish(claimOf("a"), response))).to.deep.equal({ kind: "recorded" });
            expect(recordsOf(routers)).to.have.nested.property("[0].state", "finished");

            const second = claimOf("b", { idempotencyKey: "key-2" });
            await routers.until(journal.claim(second, never));
            routers.store.faults[fault] = 1;
            expect(await routers.until(journal.release(second))).to.deep.equal({ kind: "released" });
            expect(recordsOf(routers)).to.have.length(1);
        });
    }

    it("returns unknown when the claim may have taken effect and cannot be resolved in time", async () => {
        const routers = JournalRouters.create({ routerCount: 1 });
        routers.store.faults.loseNextAnswers = 1;
        routers.store.faults.delayMs = 10;
        const claim = routers.journals[0]!.claim(claimOf("a"), never);
        await routers.clock.advance(20);
        routers.store.faults.outage = true;
        expect(await routers.until(claim)).to.deep.equal({ kind: "unknown" });
    });

    it("returns unknown when a silent owner may still write the claim during a platform outage", async () => {
        const routers = JournalRouters.create({ routerCount: 2 });
        const [owner, other] = await ownerAndOther(routers);
        routers.network.setLink(routers.names[other]!, routers.names[owner]!, "silent");
        routers.store.faults.outage = true;
        const claim = routers.journals[other]!.claim(claimOf("a"), never);
        expect(await routers.until(claim)).to.deep.equal({ kind: "unknown" });
    });

    it("lets one of two routers win a key, also when they cannot reach each other", async () => {
        for (const link of ["open", "refused", "silent"] as const) {
            const routers = JournalRouters.create({ routerCount: 2 });
            routers.network.setLink("router-0", "router-1", link);
            routers.store.faults.delayMs = 10;
            const claims = routers.journals.map((journal, index) => journal.claim(claimOf(`a-${index}`), never));
            const kinds = (await routers.until(Promise.all(claims))).map(outcome => outcome.kind);
            expect(kinds.sort(), link).to.deep.equal(["claimed", "held-by-other"]);
        }
    });

    it("claims without the owner when the owner dies after it wrote the claim", async () => {
        const routers = JournalRouters.create({ routerCount: 2 });
        const [owner, other] = await ownerAndOther(routers);
        routers.store.faults.delayMs = 50;
        const claim = routers.journals[other]!.claim(claimOf("a"), never);
        await routers.clock.advance(20);
        routers.network.setLink(routers.names[owner]!, routers.names[other]!, "silent");
        expect(await routers.until(claim)).to.deep.equal({ kind: "claimed" });
        expect(recordsOf(routers).filter(record => record.claimant === "a")).to.have.length(1);
    });

    it("stops trying for a router that has stopped waiting", async () => {
        const routers = JournalRouters.create({ routerCount: 1 });
        routers.store.faults.loseNextWrites = Number.MAX_SAFE_INTEGER;
        const peer = { name: "router-0", zone: "zone-a", role: "router", url: "http://router-0" } as const;
        const owner = routers.network.clientsOf("router-9").get(JournalService, peer);
        const shard = `${Date.parse("2026-01-01T00:00:00Z")}-0`;
        const asked = owner.claimKey({ shard, keyHash: "00", claimant: "a", requestDigest: "digest" });
        expect(await routers.until(asked)).to.have.property("kind", "unknown");
        expect(routers.clock.monotonicMs()).to.be.below(routers.settings.claimTimeoutMs);
    });

    it("lets only the claimant release a key for a repeat", async () => {
        const routers = JournalRouters.create({ routerCount: 2 });
        const [one, other] = routers.journals;
        await routers.until(one!.claim(claimOf("a"), never));
        await routers.until(other!.release(claimOf("b")));
        expect(await routers.until(other!.claim(claimOf("c"), never))).to.deep.equal({ kind: "held-by-other" });
        expect(await routers.until(one!.release(claimOf("a")))).to.deep.equal({ kind: "released" });
        expect(await routers.until(other!.claim(claimOf("d"), never))).to.deep.equal({ kind: "claimed" });
    });

    it("does not release a finished key", async () => {
        const routers = JournalRouters.create({ routerCount: 1 });
        const journal = routers.journals[0]!;
        await routers.until(journal.claim(claimOf("a"), never));
        await routers.until(journal.finish(claimOf("a"), response));
        expect(await routers.until(journal.release(claimOf("a")))).to.have.property("kind", "unavailable");
        expect(recordsOf(routers)).to.have.nested.property("[0].state", "finished");
    });

    it("makes a claim that is still in flight fail once its key was released", async () => {
        const routers = JournalRouters.create({ routerCount: 1 });
        const before = routers.store.peek("journal-shard", `${Date.parse("2026-01-01T00:00:00Z")}-0`);
        await routers.until(routers.journals[0]!.release(claimOf("a")));
        const late = routers.store.write(
            { kind: "journal-shard", name: `${Date.parse("2026-01-01T00:00:00Z")}-0` },
            { records: {} },
            before?.revision ?? 0,
        );
        expect(await late).to.have.property("kind", "conflict");
    });

    it("refuses claims at once during an outage, and records responses after it", async () => {
        const routers = JournalRouters.create({ routerCount: 1 });
        const journal = routers.journals[0]!;
        await routers.until(journal.claim(claimOf("a"), never));
        routers.store.faults.outage = true;
        const finish = journal.finish(claimOf("a"), response);
        await routers.clock.advance(500);
        const startMs = routers.clock.monotonicMs();
        const claim = await routers.until(journal.claim(claimOf("b", { idempotencyKey: "key-2" }), never));
        expect(claim).to.have.property("kind", "unavailable");
        expect(claim).to.have.property("retryAfterMs").that.is.greaterThan(0);
        expect(routers.clock.monotonicMs() - startMs).to.be.at.most(10);
        routers.store.faults.outage = false;
        expect(await routers.until(finish)).to.deep.equal({ kind: "recorded" });
    });

    it("stores responses only while they fit", async () => {
        const settings = { maxAnswerBytes: 1000, maxShardBytes: 4000 };
        const routers = JournalRouters.create({ routerCount: 1, settings });
        const journal = routers.journals[0]!;
        for (const [index, size] of [900, 900, 900, 1001].entries()) {
            const claim = claimOf(`a-${index}`, { idempotencyKey: `key-${index}` });
            await routers.until(journal.claim(claim, never));
            await routers.until(journal.finish(claim, { ...response, body: new Uint8Array(size) }));
        }
        const kinds = [];
        for (const index of [0, 1, 2, 3]) {
            const repeat = claimOf("repeat", { idempotencyKey: `key-${index}` });
            kinds.push((await routers.until(journal.claim(repeat, never))).kind);
        }
        const without = "finished-without-response";
        expect(kinds).to.deep.equal([without, "finished", "finished", without]);
    });

    it("refuses a claim that was recorded but delayed past the retention by a pause", async () => {
        const routers = JournalRouters.create({ routerCount: 1, settings: { retentionMs: HOUR_MS } });
        routers.store.faults.delayMs = 50;
        const claim = routers.journals[0]!.claim(claimOf("a"), never);
        await routers.clock.advance(60);
        routers.clock.pause(2 * HOUR_MS);
        expect(await routers.until(claim)).to.have.property("kind", "unavailable");
    });

    for (const fastIndex of [0, 1]) {
        it(`never claims a key whose record may be removed by the fast clock of router ${fastIndex}`, async () => {
            for (const ageMs of [HOUR_MS - 70_000, HOUR_MS - 60_000, HOUR_MS - 50_000, HOUR_MS, HOUR_MS + 60_000]) {
                const { routers, slow } = routersWithFastClock(fastIndex);
                const first = await routers.until(slow.claim(claimOf("a"), never));
                expect(first).to.deep.equal({ kind: "claimed" });
                routers.clock.pause(ageMs);
                const stop = new AbortController();
                const cleaning = routers.journals.map(journal => journal.run(stop.signal));
                await routers.clock.advance(5000);
                stop.abort();
                await Promise.all(cleaning);
                const repeat = await routers.until(slow.claim(claimOf("b"), never));
                expect(repeat.kind, `${ageMs}`).to.not.equal("claimed");
            }
        });
    }

    it("does not refuse a key based on a cached shard that another router has changed since", async () => {
        const routers = JournalRouters.create({ routerCount: 2 });
        const [owner, other] = await ownerAndOther(routers);
        await routers.until(routers.journals[other]!.claim(claimOf("a"), never));
        routers.network.setLink("router-0", "router-1", "refused");
        await routers.until(routers.journals[other]!.release(claimOf("a")));
        const repeat = routers.journals[owner]!.claim(claimOf("b"), never);
        expect(await routers.until(repeat)).to.deep.equal({ kind: "claimed" });
    });

    it("removes shards whose retention is over", async () => {
        const settings = { retentionMs: HOUR_MS, bucketMs: 60_000 };
        const routers = JournalRouters.create({ routerCount: 2, settings });
        await routers.until(routers.journals[0]!.claim(claimOf("a"), never));
        const stop = new AbortController();
        const cleaning = routers.journals.map(journal => journal.run(stop.signal));
        await routers.clock.advance(HOUR_MS + 59_000);
        expect(recordsOf(routers)).to.have.length(1);
        await routers.clock.advance(200_000);
        expect(recordsOf(routers)).to.have.length(0);
        stop.abort();
        await Promise.all(cleaning);
    });
});

describe("Journal in a store that was restored from an older copy", () => {
    let routers: JournalRouters;

    beforeEach(() => {
        routers = JournalRouters.create({ routerCount: 3 });
        // Every router writes shards itself, so that others do not know their content.
        routers.names.forEach(from => routers.names.forEach(to => routers.network.setLink(from, to, "refused")));
    });

    /** Claims a key at a router, and records its response. */
    async function run(index: number, overrides: Partial<JournalClaim> = {}): Promise<void> {
        const claim = claimOf(`runner-${index}`, overrides);
        expect(await routers.until(routers.journals[index]!.claim(claim, never))).to.deep.equal({ kind: "claimed" });
        expect(await routers.until(routers.journals[index]!.finish(claim, response))).to.deep.equal({
            kind: "recorded",
        });
    }

    /** Returns the kinds of the outcomes of a repeat at each router. */
    async function repeat(overrides: Partial<JournalClaim> = {}): Promise<string[]> {
        const kinds: string[] = [];
        for (const [index, journal] of routers.journals.entries()) {
            const claim = claimOf(`repeat-${index}`, overrides);
            kinds.push((await routers.until(journal.claim(claim, never))).kind);
        }
        return kinds;
    }

    it("does not claim a key whose record may have been lost", async () => {
        const copy = routers.store.copy();
        await run(0);
        routers.store.restore(copy);
        // The first router still knows the record.
        expect(await repeat()).to.deep.equal(["finished", "possibly-lost", "possibly-lost"]);
        expect(recordsOf(routers)).to.have.length(0);
    });

    it("serves a repeat whose record the copy has", async () => {
        await run(0);
        const copy = routers.store.copy();
        await run(1, { idempotencyKey: "key-2" });
        routers.store.restore(copy);
        expect(await repeat()).to.deep.equal(["finished", "finished", "finished"]);
    });

    it("claims keys of calls issued since, at a router that learns of the restore later as well", async () => {
        const { clockErrorMs } = routers.settings;
        const copy = routers.store.copy();
        await run(0);
        routers.store.restore(copy);
        await routers.until(routers.journals[1]!.claim(claimOf("b"), never));
        await routers.clock.advance(clockErrorMs + 1000);
        const issuedAt = routers.clock.now();
        await run(1, { idempotencyKey: "key-2", issuedAt });
        await routers.clock.advance(10_000);
        await run(2, { idempotencyKey: "key-3", issuedAt });
        expect(await repeat()).to.deep.equal(["finished", "possibly-lost", "possibly-lost"]);
    });

    it("learns of the restore within seconds while no calls arrive", async () => {
        const stop = new AbortController();
        void routers.journals[2]!.run(stop.signal);
        routers.store.restore(routers.store.copy());
        const restoredAtMs = routers.clock.now().getTime();
        await routers.clock.advance(10_000);
        stop.abort();
        const value = routers.store.peek("journal-era", "current")?.value as { era: number; sinceMs: number; };
        expect(value.era).to.equal(1);
        expect(value.sinceMs - restoredAtMs).to.be.within(0, 4000);
    });

    it("reports a claim as unknown that was committed by a revision of an earlier era", async () => {
        const { store } = routers;
        const write = store.write.bind(store);
        const copy = store.copy();
        await run(0);
        store.restore(copy);
        const key = { kind: "journal-shard", name: `${Date.parse("2026-01-01T00:00:00Z")}-0` };
        await write(key, { records: {} }, 0);
        await write(key, { records: {} }, 1);
        store.write = (writtenKey, value, expected) => write(writtenKey, value, expected);
        expect(await repeat({ idempotencyKey: "key-2" })).to.not.include("claimed");
    });
});
