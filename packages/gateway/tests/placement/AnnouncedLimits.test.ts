import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { AnnouncedLimits } from "../../src/placement/AnnouncedLimits.js";
import { AnnouncedRateLimiter } from "../../src/placement/AnnouncedRateLimiter.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";
import { SimulatedLimits } from "../support/SimulatedLimits.js";

const WINDOW_MS = 4000;
const STABLE_WINDOW_MS = 3000;

function allowed(requestsPerSecond: number): number {
    return 1.5 * requestsPerSecond * WINDOW_MS / 1000 + 5;
}

describe("the limit that an upstream announces to several gateways", () => {
    for (const gateways of [1, 2, 6, 79]) {
        for (const limit of [0, 0.3, 1, 1.7, 5, 40]) {
            it(`is kept by ${gateways} at ${limit} requests a second`, async () => {
                const simulation = SimulatedLimits.create({ gateways, requestsPerSecond: 100 });
                await simulation.run(3000);
                simulation.announce(limit);
                const sinceMs = simulation.clock.monotonicMs() + STABLE_WINDOW_MS;
                await simulation.run(20_000);
                expect(simulation.mostArrivals(sinceMs, WINDOW_MS)).to.be.at.most(allowed(limit));
            });
        }
    }

    it("is used for the most part while callers ask for more", async () => {
        for (const gateways of [1, 6, 79]) {
            const simulation = SimulatedLimits.create({ gateways, requestsPerSecond: 100 });
            simulation.announce(5);
            await simulation.run(23_000);
            const served = simulation.arrivalsMs.filter(atMs => atMs >= STABLE_WINDOW_MS).length;
            expect(served).to.be.at.least(0.7 * 5 * 20);
        }
    });

    for (const gateways of [6, 79]) {
        it(`is lowered, raised and withdrawn at ${gateways} of them`, async () => {
            const simulation = SimulatedLimits.create({ gateways, requestsPerSecond: 100 });
            for (const limit of [10, 1, 6, 0.5]) {
                simulation.announce(limit);
                const sinceMs = simulation.clock.monotonicMs() + STABLE_WINDOW_MS;
                await simulation.run(45_000);
                expect(simulation.mostArrivals(sinceMs, WINDOW_MS)).to.be.at.most(allowed(limit));
                expect(new Set(simulation.knownLimits())).to.deep.equal(new Set([limit]));
            }
            simulation.announce(undefined);
            await simulation.run(30_000);
            expect(new Set(simulation.knownLimits())).to.deep.equal(new Set([Infinity]));
            const { refused } = simulation;
            await simulation.run(1000);
            expect(simulation.refused).to.equal(refused);
        });
    }

    it("is learned by a restarted gateway from the others", async () => {
        const simulation = SimulatedLimits.create({ gateways: 6, requestsPerSecond: 100 });
        simulation.announce(2);
        await simulation.run(3000);
        simulation.restart(3);
        await simulation.run(400);
        expect(simulation.knownLimits()).to.deep.equal([2, 2, 2, 2, 2, 2]);
    });

    it("is kept by gateways that are cut off from each other", async () => {
        const simulation = SimulatedLimits.create({ gateways: 6, requestsPerSecond: 100 });
        simulation.announce(2);
        for (const index of [0, 1, 2, 3, 4, 5]) {
            simulation.cutOff(index, true);
        }
        await simulation.run(20_000);
        expect(simulation.mostArrivals(STABLE_WINDOW_MS, WINDOW_MS)).to.be.at.most(allowed(2));
    });

    it("is corrected at a gateway that returns with an older one", async () => {
        const simulation = SimulatedLimits.create({ gateways: 6, requestsPerSecond: 100 });
        simulation.announce(2);
        await simulation.run(3000);
        simulation.cutOff(0, true);
        simulation.announce(undefined);
        await simulation.run(20_000);
        simulation.cutOff(0, false);
        await simulation.run(2000);
        expect(new Set(simulation.knownLimits())).to.deep.equal(new Set([Infinity]));
    });

    it("stays as it was while the announced values are unreadable", async () => {
        const simulation = SimulatedLimits.create({ gateways: 6, requestsPerSecond: 100 });
        simulation.announce("many");
        await simulation.run(2000);
        expect(new Set(simulation.knownLimits())).to.deep.equal(new Set([Infinity]));
        simulation.announce(2);
        await simulation.run(2000);
        simulation.announce("-1");
        await simulation.run(10_000);
        expect(new Set(simulation.knownLimits())).to.deep.equal(new Set([2]));
    });
});

describe("AnnouncedLimits", () => {
    let clock: ManualClock;
    let limits: AnnouncedLimits;
    let registered: Set<string>;
    const upstream = exampleUpstream("u1");

    beforeEach(() => {
        clock = ManualClock.create();
        registered = new Set(["u1/1000"]);
        limits = AnnouncedLimits.create({
            clock,
            random: SeededRandom.create(1),
            log: SilentDecisionLog.create(),
            isRegistered: (id, startedAtMs) => registered.has(`${id}/${startedAtMs}`),
        });
    });

    it("is not raised or withdrawn by a response that was delayed", async () => {
        const sentAtMs = clock.monotonicMs();
        await clock.advance(10);
        limits.recordResponse(upstream, { kind: "limited", requestsPerSecond: 2 }, clock.monotonicMs());
        await clock.advance(10);
        limits.recordResponse(upstream, undefined, sentAtMs);
        limits.recordResponse(upstream, { kind: "limited", requestsPerSecond: 9 }, sentAtMs);
        expect(limits.requestsPerSecond(upstream)).to.equal(2);
        limits.recordResponse(upstream, { kind: "limited", requestsPerSecond: 1 }, sentAtMs);
        expect(limits.requestsPerSecond(upstream)).to.equal(1);
    });

    it("holds for one instance of an upstream only", () => {
        limits.recordResponse(upstream, { kind: "limited", requestsPerSecond: 2 }, 0);
        expect(limits.requestsPerSecond({ ...upstream, startedAtMs: 2000 })).to.equal(Infinity);
    });

    it("forgets upstreams that are not registered and limits that were withdrawn", async () => {
        for (let index = 0; index < 1000; index++) {
            const passing = exampleUpstream(`passing-${index}`);
            limits.recordResponse(passing, { kind: "limited", requestsPerSecond: 2 }, clock.monotonicMs());
        }
        limits.recordResponse(upstream, { kind: "limited", requestsPerSecond: 2 }, clock.monotonicMs());
        await clock.advance(20_000);
        limits.sweep();
        expect(limits.size).to.equal(1);
        limits.recordResponse(upstream, undefined, clock.monotonicMs());
        await clock.advance(20_000);
        limits.sweep();
        expect(limits.size).to.equal(0);
    });

    it("does not take an outdated limit of an unregistered upstream from a peer", () => {
        const report = {
            upstream: "u9",
            startedAtMs: 1,
            requestsPerSecond: 1,
            id: 1,
            ageMs: 60_000,
            requestAgeMs: 60_001,
        };
        limits.merge([report]);
        expect(limits.size).to.equal(0);
    });

    it("leaves no buckets of upstreams that announce no limit any more", async () => {
        const limiter = AnnouncedRateLimiter.create({ clock, limits, position: () => ({ index: 0, count: 1 }) });
        for (let index = 0; index < 100; index++) {
            const passing = exampleUpstream(`passing-${index}`);
            limits.recordResponse(passing, { kind: "limited", requestsPerSecond: 2 }, clock.monotonicMs());
            limiter.record(passing);
        }
        await clock.advance(20_000);
        limits.sweep();
        limits.recordResponse(upstream, { kind: "limited", requestsPerSecond: 2 }, clock.monotonicMs());
        limiter.record(upstream);
        expect(limiter.bucketCount).to.equal(1);
    });
});
