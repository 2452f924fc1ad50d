import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import type { AdmissionOutcome } from "../../src/placement/AdmissionOutcome.js";
import { AdmissionQueue } from "../../src/placement/AdmissionQueue.js";
import type { AdmissionRequest } from "../../src/placement/AdmissionRequest.js";

describe("AdmissionQueue", () => {
    let clock: ManualClock;
    let queue: AdmissionQueue;
    let free: number;
    let expectedWaitMs: number;

    beforeEach(() => {
        clock = ManualClock.create();
        queue = AdmissionQueue.create({ clock, random: SeededRandom.create(1) });
        free = 0;
        expectedWaitMs = 0;
    });

    function ask(changes: Partial<AdmissionRequest<string>> = {}, signal = new AbortController().signal) {
        const settled: { outcome?: AdmissionOutcome<string>; } = {};
        void queue.acquire({
            pool: "p",
            priority: 1,
            onTimeUntilMs: clock.monotonicMs() + 400,
            usefulUntilMs: clock.monotonicMs() + 3000,
            tryAcquireSlot: () => {
                if (free === 0) {
                    return undefined;
                }
                free -= 1;
                return "place";
            },
            expectedWaitMs: () => expectedWaitMs,
            ...changes,
        }, signal).then(outcome => {
            settled.outcome = outcome;
        });
        return settled;
    }

    async function release(): Promise<void> {
        free += 1;
        queue.admitWaiting();
        await clock.settle();
    }

    it("places a request at once where there is room", async () => {
        free = 1;
        const request = ask();
        await clock.settle();
        expect(request.outcome).to.deep.equal({ kind: "admitted", slot: "place", waitedMs: 0 });
    });

    it("refuses at once, with a time to come back, when nothing serves the request", async () => {
        expectedWaitMs = Infinity;
        const request = ask();
        await clock.settle();
        expect(request.outcome?.kind).to.equal("refused");
        const { retryAfterMs } = request.outcome as { retryAfterMs: number; };
        expect(retryAfterMs).to.be.within(300, 3000);
    });

    it("waits for a group that is being formed", async () => {
        expectedWaitMs = 800;
        const request = ask();
        await clock.settle();
        expect(request.outcome).to.equal(undefined);
        expectedWaitMs = 0;
        await release();
        expect(request.outcome?.kind).to.equal("admitted");
    });

    it("gives a place to the more urgent request first", async () => {
        const later = ask({ priority: 2 });
        const urgent = ask({ priority: 0 });
        await release();
        expect([later.outcome?.kind, urgent.outcome?.kind]).to.deep.equal([undefined, "admitted"]);
    });

    it("gives a place to who can still be on time before who is late already", async () => {
        const late = ask({ onTimeUntilMs: clock.monotonicMs() + 100 });
        await clock.advance(200);
        const onTime = ask();
        await release();
        expect([late.outcome?.kind, onTime.outcome?.kind]).to.deep.equal([undefined, "admitted"]);
    });

    it("gives places in the order of arrival among equals", async () => {
        const first = ask();
        await clock.advance(10);
        const second = ask();
        await release();
        expect([first.outcome?.kind, second.outcome?.kind]).to.deep.equal(["admitted", undefined]);
    });

    it("refuses a request that waits when its time has become too short", async () => {
        const controller = new AbortController();
        void queue.run(controller.signal);
        const request = ask({ usefulUntilMs: clock.monotonicMs() + 300 });
        await clock.advance(250);
        expect(request.outcome).to.equal(undefined);
        await clock.advance(100);
        expect(request.outcome?.kind).to.equal("refused");
        controller.abort();
    });

    it("refuses requests beyond what the pool's pace can place in time", async () => {
        const outcomes = Array.from({ length: 40 }, () => ask({ usefulUntilMs: clock.monotonicMs() + 3000 }));
        await clock.settle();
        const refused = outcomes.filter(request => request.outcome?.kind === "refused").length;
        // One place in two seconds is the pace without history: the queue holds what fits into three seconds.
        expect(refused).to.be.greaterThan(30);
    });

    it("spreads the times to come back", async () => {
        expectedWaitMs = Infinity;
        const times = new Set<number>();
        for (let index = 0; index < 20; index++) {
            const request = ask();
            await clock.settle();
            times.add((request.outcome as { retryAfterMs: number; }).retryAfterMs);
        }
        expect(times.size).to.be.greaterThan(15);
    });

    it("lets a caller go who has left", async () => {
        const controller = new AbortController();
        const request = ask({}, controller.signal);
        await clock.settle();
        controller.abort();
        await clock.settle();
        expect(request.outcome).to.deep.equal({ kind: "aborted" });
        expect(queue.waiting()).to.deep.equal([["p", 0]]);
    });
});
