import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import type { AdmissionOutcome } from "../../src/placement/AdmissionOutcome.js";
import { AdmissionQueue } from "../../src/placement/AdmissionQueue.js";
import type { AdmissionRequest } from "../../src/placement/AdmissionRequest.js";

describe("AdmissionQueue", () => {
    let clock: ManualClock;
    let queue: AdmissionQueue;
    let freeSlots: number;
    let expectedWaitMs: number;

    beforeEach(() => {
        clock = ManualClock.create();
        queue = AdmissionQueue.create({ clock, random: SeededRandom.create(1) });
        freeSlots = 0;
        expectedWaitMs = 0;
    });

    function acquire(changes: Partial<AdmissionRequest<string>> = {}, signal = new AbortController().signal) {
        const result: { outcome?: AdmissionOutcome<string>; } = {};
        void queue.acquire({
            pool: "p",
            priority: 1,
            onTimeUntilMs: clock.monotonicMs() + 400,
            usefulUntilMs: clock.monotonicMs() + 3000,
            tryAcquireSlot: () => {
                if (freeSlots === 0) {
                    return undefined;
                }
                freeSlots -= 1;
                return "s1";
            },
            expectedWaitMs: () => expectedWaitMs,
            ...changes,
        }, signal).then(outcome => {
            result.outcome = outcome;
        });
        return result;
    }

    async function release(): Promise<void> {
        freeSlots += 1;
        queue.admitWaiting();
        await clock.settle();
    }

    it("admits a request at once when a slot is free", async () => {
        freeSlots = 1;
        const request = acquire();
        await clock.settle();
        expect(request.outcome).to.deep.equal({ kind: "admitted", slot: "s1", waitedMs: 0 });
    });

    it("refuses at once, with a retry-after delay, when nothing serves the request", async () => {
        expectedWaitMs = Infinity;
        const request = acquire();
        await clock.settle();
        expect(request.outcome?.kind).to.equal("refused");
        const { retryAfterMs } = request.outcome as { retryAfterMs: number; };
        expect(retryAfterMs).to.be.within(300, 3000);
    });

    it("waits for a group that is being formed", async () => {
        expectedWaitMs = 800;
        const request = acquire();
        await clock.settle();
        expect(request.outcome).to.equal(undefined);
        expectedWaitMs = 0;
        await release();
        expect(request.outcome?.kind).to.equal("admitted");
    });

    it("admits the more urgent request first", async () => {
        const later = acquire({ priority: 2 });
        const urgent = acquire({ priority: 0 });
        await release();
        expect([later.outcome?.kind, urgent.outcome?.kind]).to.deep.equal([undefined, "admitted"]);
    });

    it("admits a request that can still be on time before one that is late already", async () => {
        const late = acquire({ onTimeUntilMs: clock.monotonicMs() + 100 });
        await clock.advance(200);
        const onTime = acquire();
        await release();
        expect([late.outcome?.kind, onTime.outcome?.kind]).to.deep.equal([undefined, "admitted"]);
    });

    it("admits requests of equal priority in the order of arrival", async () => {
        const first = acquire();
        await clock.advance(10);
        const second = acquire();
        await release();
        expect([first.outcome?.kind, second.outcome?.kind]).to.deep.equal(["admitted", undefined]);
    });

    it("refuses a waiting request when its remaining time has become too short", async () => {
        const controller = new AbortController();
        void queue.run(controller.signal);
        const request = acquire({ usefulUntilMs: clock.monotonicMs() + 300 });
        await clock.advance(250);
        expect(request.outcome).to.equal(undefined);
        await clock.advance(100);
        expect(request.outcome?.kind).to.equal("refused");
        controller.abort();
    });

    it("refuses requests that cannot be admitted in time at the pool's admission rate", async () => {
        const outcomes = Array.from({ length: 40 }, () => acquire({ usefulUntilMs: clock.monotonicMs() + 3000 }));
        await clock.settle();
        const refused = outcomes.filter(request => request.outcome?.kind === "refused").length;
        // Without history, the assumed rate is one admission in 2 s: the queue holds what fits into 3 s.
        expect(refused).to.be.greaterThan(30);
    });

    it("randomizes the retry-after delays", async () => {
        expectedWaitMs = Infinity;
        const times = new Set<number>();
        for (let index = 0; index < 20; index++) {
            const request = acquire();
            await clock.settle();
            times.add((request.outcome as { retryAfterMs: number; }).retryAfterMs);
        }
        expect(times.size).to.be.greaterThan(15);
    });

    it("removes the request of a caller that has disconnected", async () => {
        const controller = new AbortController();
        const request = acquire({}, controller.signal);
        await clock.settle();
        controller.abort();
        await clock.settle();
        expect(request.outcome).to.deep.equal({ kind: "aborted" });
        expect(queue.waiting()).to.deep.equal([["p", 0]]);
    });
});
