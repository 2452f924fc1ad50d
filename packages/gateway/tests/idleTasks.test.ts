import type { Clock } from "@fescuehaven/runtime";
import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { IdleTimeoutMonitor } from "../src/forwarding/IdleTimeoutMonitor.js";
import { AdmissionQueue } from "../src/placement/AdmissionQueue.js";

/** A clock that counts calls of `sleep`. */
class CountingClock implements Clock {
    sleeps = 0;

    constructor(private readonly clock: ManualClock) {}

    now(): Date {
        return this.clock.now();
    }

    monotonicMs(): number {
        return this.clock.monotonicMs();
    }

    sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
        this.sleeps += 1;
        return this.clock.sleep(durationMs, signal);
    }
}

describe("background tasks of an idle gateway", () => {
    let clock: ManualClock;
    let countingClock: CountingClock;
    let stop: AbortController;

    beforeEach(() => {
        clock = ManualClock.create();
        countingClock = new CountingClock(clock);
        stop = new AbortController();
    });

    afterEach(() => stop.abort());

    it("do not sweep an empty queue, and sweep it again when a request waits", async () => {
        const queue = AdmissionQueue.create({ clock: countingClock, random: SeededRandom.create(1) });
        void queue.run(stop.signal);
        await clock.advance(1000);
        expect(countingClock.sleeps).to.equal(0);
        const slots: string[] = [];
        const waiting = queue.acquire({
            pool: "p",
            priority: 1,
            onTimeUntilMs: 2000,
            usefulUntilMs: 5000,
            tryAcquireSlot: () => slots.shift(),
            expectedWaitMs: () => 0,
        }, stop.signal);
        await clock.advance(100);
        slots.push("there");
        await clock.advance(50);
        expect(await waiting).to.deep.include({ kind: "admitted", slot: "there" });
        const sleeps = countingClock.sleeps;
        await clock.advance(1000);
        expect(countingClock.sleeps).to.be.within(sleeps, sleeps + 1);
    });

    it("do not check for idle timeouts without an exchange, and detect the timeout of the next one", async () => {
        const idleTimeouts = IdleTimeoutMonitor.create(countingClock);
        void idleTimeouts.run(stop.signal);
        await clock.advance(1000);
        expect(countingClock.sleeps).to.equal(0);
        let isSilent = false;
        idleTimeouts.watch(200, () => {
            isSilent = true;
            return undefined;
        });
        await clock.advance(150);
        expect(isSilent).to.equal(false);
        await clock.advance(150);
        expect(isSilent).to.equal(true);
        const sleeps = countingClock.sleeps;
        await clock.advance(1000);
        expect(countingClock.sleeps).to.be.within(sleeps, sleeps + 1);
    });
});
