import type { ZoneLease } from "@fescuehaven/resources";
import {
    FakeConfiguration,
    FakeEngines,
    FaultyProcess,
    ManualClock,
    MemoryEventRecorder,
    MemoryObjectStore,
    SeededRandom,
    SilentLogger,
} from "@fescuehaven/testing";
import { expect } from "chai";
import { defaultLeaseTimings, leaseTimingsFor, ZoneLeaseManager } from "../src/index.js";

/** Longest interval between two attempts of a contender. */
const MAX_CONTEND_INTERVAL_MS = 1.25 * defaultLeaseTimings.contendEveryMs;

function createZone(timings = defaultLeaseTimings) {
    const clock = ManualClock.create();
    const store = MemoryObjectStore.create(clock);
    const environment = { clock, store, engines: FakeEngines.create(clock), configuration: FakeConfiguration.create() };
    const lease = () => store.peek("zone-lease", "z")?.value as ZoneLease | undefined;
    const start = (name: string) => {
        const process = FaultyProcess.create(environment);
        const manager = ZoneLeaseManager.create({
            store: process.store,
            clock: process.clock,
            random: SeededRandom.create(1, name),
            recorder: MemoryEventRecorder.create(),
            logger: SilentLogger.create(),
            zone: "z",
            process: name,
            timings,
        });
        const stop = new AbortController();
        void manager.run(stop.signal);
        return { manager, process, stop };
    };
    return { clock, store, lease, start };
}

describe("ZoneLeaseManager", () => {
    it("lets one of two controllers hold the lease and keep it by renewals", async () => {
        const { clock, start } = createZone();
        const [a, b] = [start("a"), start("b")];
        for (let step = 0; step < 300; step++) {
            await clock.advance(100);
            expect([a.manager.held(), b.manager.held()].filter(fence => fence !== undefined)).to.deep.equal([1]);
        }
    });

    it("passes to a contender with a higher fencing token once released", async () => {
        const { clock, lease, start } = createZone();
        const a = start("a");
        await clock.advance(100);
        const b = start("b");
        a.stop.abort();
        await clock.advance(MAX_CONTEND_INTERVAL_MS);
        expect(b.manager.held()).to.equal(2);
        expect(lease()).to.deep.include({ holder: "b", fence: 2 });
    });

    it("is taken over from a dead holder only after its duration and the margin", async () => {
        const { clock, start } = createZone();
        const a = start("a");
        await clock.advance(100);
        a.process.kill();
        const b = start("b");
        await clock.advance(defaultLeaseTimings.durationMs + defaultLeaseTimings.takeoverMarginMs - 100);
        expect(b.manager.held()).to.equal(undefined);
        await clock.advance(2 * MAX_CONTEND_INTERVAL_MS);
        expect(b.manager.held()).to.equal(2);
    });

    it("counts as expired right after a pause, before anything else has run", async () => {
        const { clock, start } = createZone();
        const a = start("a");
        await clock.advance(100);
        expect(a.manager.held()).to.equal(1);
        clock.pause(2000);
        expect(a.manager.held()).to.equal(undefined);
        await clock.advance(defaultLeaseTimings.renewEveryMs);
        expect(a.manager.held()).to.equal(1);
    });

    it("never has two holders while one is paused for longer than its lease", async () => {
        const { clock, start } = createZone();
        const a = start("a");
        await clock.advance(100);
        const b = start("b");
        a.process.pause();
        await clock.advance(12_000);
        expect(b.manager.held()).to.equal(2);
        a.process.resume();
        for (let step = 0; step < 100; step++) {
            await clock.advance(100);
            expect([a.manager.held(), b.manager.held()]).to.deep.equal([undefined, 2]);
        }
    });

    it("recognises its own update when the response was lost", async () => {
        const { clock, lease, start, store } = createZone();
        store.faults.loseNextAnswers = 1;
        const a = start("a");
        await clock.advance(100);
        expect(a.manager.held()).to.equal(1);
        store.faults.loseNextAnswers = 3;
        await clock.advance(6000);
        expect(a.manager.held()).to.equal(1);
        expect(lease()?.fence).to.equal(1);
    });

    it("is valid from the start of its update, not from the response", async () => {
        const { clock, start, store } = createZone();
        store.faults.delayMs = 2000;
        const a = start("a");
        const updateStartsMs = 2000;
        await clock.advance(updateStartsMs + 2000);
        expect(a.manager.held()).to.equal(1);
        const { durationMs, safetyMarginMs } = defaultLeaseTimings;
        await clock.advance(durationMs - safetyMarginMs - 2000);
        expect(a.manager.held()).to.equal(undefined);
    });

    it("is not taken over when a platform outage prevented its renewal", async () => {
        const { clock, lease, start, store } = createZone();
        const a = start("a");
        await clock.advance(100);
        const b = start("b");
        a.process.pause();
        await clock.advance(1000);
        store.faults.outage = true;
        await clock.advance(30_000);
        store.faults.outage = false;
        await clock.advance(MAX_CONTEND_INTERVAL_MS);
        expect([lease()?.holder, b.manager.held()]).to.deep.equal(["a", undefined]);
    });

    it("is held without a gap for every configurable duration", async () => {
        for (const durationMs of [500, 2000, 60_000]) {
            const { clock, start } = createZone(leaseTimingsFor(durationMs));
            const a = start("a");
            await clock.advance(durationMs / 60);
            for (let step = 0; step < 40; step++) {
                await clock.advance(durationMs / 17);
                expect(a.manager.held(), `duration ${durationMs}`).to.equal(1);
            }
        }
    });

    it("is not held when its update was lost in transit", async () => {
        const { clock, start, store } = createZone();
        store.faults.loseNextWrites = 1;
        const a = start("a");
        await clock.advance(100);
        expect(a.manager.held()).to.equal(undefined);
        await clock.advance(MAX_CONTEND_INTERVAL_MS);
        expect(a.manager.held()).to.equal(1);
    });

    it("expires during a platform outage, and the same holder resumes it afterwards", async () => {
        const { clock, lease, start, store } = createZone();
        const a = start("a");
        await clock.advance(100);
        const b = start("b");
        store.faults.outage = true;
        await clock.advance(30_000);
        expect([a.manager.held(), b.manager.held()]).to.deep.equal([undefined, undefined]);
        expect(a.manager.platformSilentMs()).to.be.above(28_000);
        store.faults.outage = false;
        await clock.advance(2000);
        expect(a.manager.held()).to.equal(1);
        expect(lease()).to.deep.include({ holder: "a", fence: 1 });
    });
});
