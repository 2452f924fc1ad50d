import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { ColdStartLimiter } from "../../src/placement/ColdStartLimiter.js";
import { FailureRateTracker } from "../../src/placement/FailureRateTracker.js";
import { LoadTracker } from "../../src/placement/LoadTracker.js";
import { RetryBudget } from "../../src/placement/RetryBudget.js";
import type { TrackedRequest } from "../../src/placement/TrackedRequest.js";
import { exampleUpstream } from "../support/exampleUpstream.js";

describe("ColdStartLimiter", () => {
    const upstream = exampleUpstream("u", { coldUntilMs: 60_000 });

    /** Returns the requests that each of `count` gateways sends within one second, with an attempt every 10 ms. */
    async function countSentPerGateway(count: number, requestsPerSecond: number): Promise<number[]> {
        const clock = ManualClock.create();
        const limiters = Array.from(
            { length: count },
            (_, index) => ColdStartLimiter.create({ clock, position: () => ({ index, count }) }),
        );
        const sent = limiters.map(() => 0);
        for (let passedMs = 0; passedMs < 1000; passedMs += 10) {
            limiters.forEach((limiter, index) => {
                if (limiter.canSend(upstream, requestsPerSecond)) {
                    limiter.record(upstream);
                    sent[index]! += 1;
                }
            });
            await clock.advance(10);
        }
        return sent;
    }

    it("keeps each gateway within its share of the limit in any second", async () => {
        expect(await countSentPerGateway(6, 36)).to.deep.equal([6, 6, 6, 6, 6, 6]);
    });

    it("divides a limit completely when it is not a multiple of the number of gateways", async () => {
        const sent = await countSentPerGateway(6, 17);
        expect(sent.reduce((sum, item) => sum + item, 0)).to.equal(17);
        expect(Math.max(...sent) - Math.min(...sent)).to.equal(1);
    });

    it("keeps all gateways together within a limit that is smaller than their number", async () => {
        const sent = await countSentPerGateway(80, 36);
        expect(sent.filter(item => item === 1).length).to.equal(36);
        expect(sent.filter(item => item === 0).length).to.equal(44);
    });

    it("gives the remainder of the limits of several upstreams to different gateways", () => {
        const clock = ManualClock.create();
        const limiter = ColdStartLimiter.create({ clock, position: () => ({ index: 0, count: 80 }) });
        const usable = Array.from({ length: 400 }, (_, index) => exampleUpstream(`u${index}`, { coldUntilMs: 1000 }))
            .filter(item => limiter.canSend(item, 16));
        expect(usable.length).to.be.within(40, 120);
    });

    it("sends nothing to a cold upstream while the other gateways are not known", () => {
        const limiter = ColdStartLimiter.create({ clock: ManualClock.create(), position: () => undefined });
        expect(limiter.canSend(upstream, 36)).to.equal(false);
    });

    it("does not limit requests to a warm upstream or where no limit is configured", () => {
        const limiter = ColdStartLimiter.create({ clock: ManualClock.create(), position: () => undefined });
        expect(limiter.canSend(exampleUpstream("u", { coldUntilMs: 0 }), 36)).to.equal(true);
        expect(limiter.canSend(upstream, 0)).to.equal(true);
    });

    it("returns the time until the next request may be sent", async () => {
        const clock = ManualClock.create();
        const cold = exampleUpstream("u", { coldUntilMs: clock.monotonicMs() + 3000 });
        const limiter = ColdStartLimiter.create({ clock, position: () => ({ index: 0, count: 1 }) });
        limiter.record(cold);
        await clock.advance(400);
        expect(limiter.waitMs(cold, 1)).to.equal(600);
        const without = ColdStartLimiter.create({ clock, position: () => undefined });
        expect(without.waitMs(cold, 1)).to.equal(2600);
    });
});

describe("RetryBudget", () => {
    const budget = { ratio: 0.2, slack: 130, windowMs: 10_000 };

    function countAcquired(retryBudget: RetryBudget, tries: number): number {
        return Array.from({ length: tries }, () => retryBudget.tryAcquire("s")).filter(Boolean).length;
    }

    it("uses its equal share of the slack while no counts of other gateways are known", () => {
        const retryBudget = RetryBudget.create({ clock: ManualClock.create(), ...budget, gatewayCount: () => 6 });
        expect(countAcquired(retryBudget, 200)).to.be.within(10, 130 / 6);
    });

    it("uses none of the slack while the other gateways are not known", () => {
        const retryBudget = RetryBudget.create({
            clock: ManualClock.create(),
            ...budget,
            gatewayCount: () => undefined,
        });
        expect(countAcquired(retryBudget, 200)).to.equal(0);
        Array.from({ length: 100 }, () => retryBudget.recordRequest("s"));
        expect(countAcquired(retryBudget, 200)).to.be.within(10, 0.2 * 100);
    });

    it("uses what other gateways have left unused", () => {
        const retryBudget = RetryBudget.create({ clock: ManualClock.create(), ...budget, gatewayCount: () => 6 });
        for (const peer of ["b", "c", "d", "e", "f"]) {
            retryBudget.setPeerCounts(peer, [["s", { requests: 100, retries: 2 }]]);
        }
        expect(countAcquired(retryBudget, 500)).to.be.within(100, 130 + 0.2 * 500 - 10);
    });

    it("does not use what other gateways have used already", () => {
        const retryBudget = RetryBudget.create({ clock: ManualClock.create(), ...budget, gatewayCount: () => 2 });
        retryBudget.setPeerCounts("b", [["s", { requests: 0, retries: 130 }]]);
        expect(countAcquired(retryBudget, 10)).to.equal(0);
    });

    it("subtracts a peer's own counts from those reported to it", () => {
        const retryBudget = RetryBudget.create({ clock: ManualClock.create(), ...budget, gatewayCount: () => 3 });
        retryBudget.recordRequest("s");
        retryBudget.setPeerCounts("b", [["s", { requests: 100, retries: 2 }]]);
        retryBudget.setPeerCounts("c", [["s", { requests: 10, retries: 1 }]]);
        const counts = retryBudget.counts(() => true);
        expect(counts).to.deep.equal([["s", { requests: 111, retries: 3 }]]);
        expect(retryBudget.withoutPeer(counts, "b")).to.deep.equal([["s", { requests: 11, retries: 1 }]]);
        expect(retryBudget.withoutPeer(counts, "unknown")).to.deep.equal(counts);
    });

    it("forgets retries that are older than the window", async () => {
        const clock = ManualClock.create();
        const retryBudget = RetryBudget.create({ clock, ...budget, gatewayCount: () => 1 });
        const first = countAcquired(retryBudget, 500);
        await clock.advance(10_001);
        expect(countAcquired(retryBudget, 500)).to.equal(first);
    });
});

describe("LoadTracker", () => {
    it("tells the shortest silence of a service's targets", async () => {
        const clock = ManualClock.create();
        const loads = LoadTracker.create(clock);
        loads.trackRequest("1", "llm", 0, () => undefined);
        loads.trackRequest("2", "llm", 0, () => undefined);
        await clock.advance(600);
        loads.trackRequest("app-0", "app", 0, () => undefined);
        expect(loads.ownSilence("llm")).to.deep.equal({ targets: 2, silentMs: 600 });
        expect(loads.ownSilence("app")).to.deep.equal({ targets: 1, silentMs: 0 });
    });

    const load = (inFlight: number, pendingPrefillTokens: number) => ({ inFlight, pendingPrefillTokens, silentMs: 30 });

    it("subtracts a peer's own load from the loads reported to it", async () => {
        const clock = ManualClock.create();
        const loads = LoadTracker.create(clock);
        loads.trackRequest("1", "llm", 500, () => undefined);
        loads.setPeerLoads("b", [["1", load(3, 100)], ["2", load(1, 0)]]);
        loads.setPeerLoads("c", [["1", load(2, 40)]]);
        const targets = loads.targetLoads(() => true);
        expect(targets.map(([target, { inFlight, pendingPrefillTokens }]) => [target, inFlight, pendingPrefillTokens]))
            .to
            .deep.equal([
                ["1", 6, 640],
                ["2", 1, 0],
            ]);
        expect(loads.withoutPeer(targets, "b").map(([target, load]) => [target, load.inFlight])).to.deep.equal([
            ["1", 3],
        ]);
        await clock.advance(2000);
        expect(loads.withoutPeer(targets, "b")).to.deep.equal(targets);
    });
});

describe("FailureRateTracker", () => {
    it("tracks the share of failures and forgets it over time", async () => {
        const clock = ManualClock.create();
        const failureRates = FailureRateTracker.create(clock);
        for (let index = 0; index < 20; index++) {
            failureRates.record("u", index % 2 === 0);
        }
        expect(failureRates.failureRate("u")).to.be.within(0.3, 0.5);
        await clock.advance(30_000);
        expect(failureRates.failureRate("u")).to.be.lessThan(0.01);
        expect(failureRates.failureRate("other")).to.equal(0);
    });
});

describe("LoadTracker", () => {
    it("adds up the loads of all gateways at a target, with the shortest silence", async () => {
        const clock = ManualClock.create();
        const loads = LoadTracker.create(clock);
        const call = loads.trackRequest("7", "llm", 1000, () => undefined);
        await clock.advance(500);
        loads.setPeerLoads("b", [["7", { inFlight: 3, pendingPrefillTokens: 200, silentMs: 40 }]]);
        expect(loads.totalLoad("7")).to.deep.equal({ inFlight: 4, pendingPrefillTokens: 1200, silentMs: 40 });
        call.recordEvent();
        expect(loads.totalLoad("7")).to.deep.equal({ inFlight: 4, pendingPrefillTokens: 200, silentMs: 0 });
        call.end();
        expect(loads.totalLoad("7").inFlight).to.equal(3);
    });

    describe("while a request is not read because its caller reads slowly", () => {
        let clock: ManualClock;
        let loads: LoadTracker;
        let unread: TrackedRequest;

        beforeEach(async () => {
            clock = ManualClock.create();
            loads = LoadTracker.create(clock);
            unread = loads.trackRequest("7", "llm", 1000, () => undefined);
            unread.recordEvent();
            unread.pause();
            await clock.advance(600);
        });

        it("counts no silence of its target, and counts it from when it is read again", async () => {
            expect(loads.totalLoad("7")).to.deep.equal({ inFlight: 1, pendingPrefillTokens: 0, silentMs: 0 });
            unread.resume();
            await clock.advance(40);
            expect(loads.totalLoad("7").silentMs).to.equal(40);
        });

        it("counts the silence of the other requests", async () => {
            loads.trackRequest("7", "llm", 1000, () => undefined);
            await clock.advance(300);
            expect(loads.totalLoad("7").silentMs).to.equal(300);
        });

        it("leaves the silence that other gateways report", () => {
            loads.setPeerLoads("b", [["7", { inFlight: 3, pendingPrefillTokens: 0, silentMs: 450 }]]);
            expect(loads.totalLoad("7")).to.deep.equal({ inFlight: 4, pendingPrefillTokens: 0, silentMs: 450 });
        });

        it("does not count that time as a pause between two events", async () => {
            unread.resume();
            await clock.advance(30);
            unread.recordEvent();
            expect(loads.meanPauseMs("7")).to.equal(30);
        });
    });

    it("ignores loads of peers that fell silent", async () => {
        const clock = ManualClock.create();
        const loads = LoadTracker.create(clock);
        loads.setPeerLoads("b", [["7", { inFlight: 3, pendingPrefillTokens: 0, silentMs: 0 }]]);
        await clock.advance(2000);
        expect(loads.totalLoad("7")).to.deep.equal({ inFlight: 0, pendingPrefillTokens: 0, silentMs: 0 });
    });

    it("aborts the requests at a target that was found lost, and no others", () => {
        const loads = LoadTracker.create(ManualClock.create());
        const aborted: string[] = [];
        loads.trackRequest("7", "llm", 0, reason => aborted.push(`a ${reason}`));
        loads.trackRequest("8", "llm", 0, reason => aborted.push(`b ${reason}`));
        expect(loads.abortRequests("7", "lost")).to.equal(1);
        expect(aborted).to.deep.equal(["a lost"]);
    });
});
