import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import type { AdmissionOutcome } from "../src/admission/AdmissionOutcome.js";
import { AdmissionQueue } from "../src/admission/AdmissionQueue.js";
import type { Caller } from "../src/admission/Caller.js";

const forever = new AbortController().signal;

describe("PlacementQueue", () => {
    let clock: ManualClock;
    let queue: AdmissionQueue;
    let freeSlots: number;
    let served: string[];

    beforeEach(() => {
        clock = ManualClock.create();
        queue = AdmissionQueue.create({ clock, maxCalls: 50, maxBytes: 1_000_000 });
        freeSlots = 0;
        served = [];
    });

    function callerOf(account: string, weight: number, limits: Partial<Caller> = {}): Caller {
        return { account, weight, maxConcurrentRequests: 1000, maxQueuedRequests: 40, priority: 0, ...limits };
    }

    function requestSlot(
        caller: Caller,
        options: { deadlineMs?: number; sizeBytes?: number; signal?: AbortSignal; isHopeless?: () => boolean; } = {},
    ): Promise<AdmissionOutcome<string>> {
        return queue.acquire({
            pool: "p",
            caller,
            sizeBytes: options.sizeBytes ?? 100,
            deadlineMs: options.deadlineMs ?? 1_000_000,
            wasAdmitted: false,
            countsForAccount: true,
            tryAcquireSlot: () => {
                if (freeSlots === 0) {
                    return undefined;
                }
                freeSlots -= 1;
                served.push(caller.account);
                return "slot";
            },
            shouldGiveUp: options.isHopeless ?? (() => false),
        }, options.signal ?? forever);
    }

    function releaseSlots(slots: number): void {
        for (let index = 0; index < slots; index++) {
            freeSlots += 1;
            queue.slotReleased("p");
        }
    }

    it("serves a small account in fair order while another account queues many calls", async () => {
        for (let index = 0; index < 30; index++) {
            void requestSlot(callerOf("flood", 1));
        }
        await clock.settle();
        void requestSlot(callerOf("small", 1));
        void requestSlot(callerOf("small", 1));
        releaseSlots(4);
        expect(served.filter(account => account === "small")).to.have.length(2);
    });

    it("divides slots by weight while all accounts wait", async () => {
        for (let index = 0; index < 20; index++) {
            void requestSlot(callerOf("large", 3));
            void requestSlot(callerOf("one", 1));
        }
        releaseSlots(12);
        expect(served.filter(account => account === "large")).to.have.length(9);
    });

    it("admits calls of other accounts while an account is at its concurrency limit", async () => {
        freeSlots = 1;
        await requestSlot(callerOf("busy", 1, { maxConcurrentRequests: 1 }));
        void requestSlot(callerOf("busy", 1, { maxConcurrentRequests: 1 }));
        void requestSlot(callerOf("other", 1));
        releaseSlots(2);
        expect(served).to.deep.equal(["busy", "other"]);
        queue.callEnded("busy");
        expect(served).to.deep.equal(["busy", "other", "busy"]);
    });

    const refusals = [
        { name: "the account's queue", fill: 3, caller: { maxQueuedRequests: 3 }, kind: "account-queue-full" },
        { name: "the queue", fill: 50, caller: { maxQueuedRequests: 100 }, kind: "queue-full" },
        { name: "the queue's memory", fill: 1, caller: {}, sizeBytes: 999_950, kind: "queue-full" },
    ];
    for (const { name, fill, caller, kind, sizeBytes } of refusals) {
        it(`refuses a call at once when ${name} is full`, async () => {
            for (let index = 0; index < fill; index++) {
                void requestSlot(callerOf("a", 1, caller));
            }
            const outcome = await requestSlot(callerOf("a", 1, caller), { sizeBytes });
            expect(outcome.kind).to.equal(kind);
            expect(outcome).to.have.property("retryAfterMs").that.is.greaterThan(0);
            expect(queue.size).to.equal(fill);
        });
    }

    it("refuses a call at once whose estimated wait exceeds its deadline", async () => {
        for (let index = 0; index < 10; index++) {
            void requestSlot(callerOf("a", 1));
        }
        await clock.advance(1000);
        releaseSlots(1);
        const nowMs = clock.monotonicMs();
        const outcome = await requestSlot(callerOf("a", 1), { deadlineMs: nowMs + 5000 });
        expect(outcome).to.deep.equal({ kind: "deadline-unreachable", retryAfterMs: 10_000 });
        const other = requestSlot(callerOf("b", 1), { deadlineMs: nowMs + 5000 });
        releaseSlots(2);
        expect((await other).kind).to.equal("admitted");
    });

    it("does not count idle time as waiting time", async () => {
        releaseSlots(1);
        await requestSlot(callerOf("a", 1));
        await clock.advance(8000);
        for (let index = 0; index < 10; index++) {
            void requestSlot(callerOf("a", 1));
        }
        await clock.advance(10);
        releaseSlots(1);
        const accepted = requestSlot(callerOf("a", 1), { deadlineMs: clock.monotonicMs() + 5000 });
        await clock.settle();
        releaseSlots(10);
        expect((await accepted).kind).to.equal("admitted");
    });

    it("refuses a waiting call at its deadline, and earlier one that no upstream can serve", async () => {
        const atDeadline = requestSlot(callerOf("a", 1), { deadlineMs: 500 });
        const unservable = requestSlot(callerOf("a", 1), { isHopeless: () => clock.monotonicMs() >= 200 });
        await clock.advance(200);
        expect((await unservable).kind).to.equal("no-upstream");
        await clock.advance(300);
        expect((await atDeadline).kind).to.equal("deadline-passed");
        expect(queue.size).to.equal(0);
    });

    it("removes a call whose caller disconnected", async () => {
        const disconnect = new AbortController();
        const outcome = requestSlot(callerOf("a", 1), { signal: disconnect.signal });
        await clock.settle();
        disconnect.abort();
        expect((await outcome).kind).to.equal("aborted");
        releaseSlots(1);
        expect(served).to.deep.equal([]);
    });
});
