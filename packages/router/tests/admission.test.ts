import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import type { Caller } from "../src/admission/Caller.js";
import type { PlacementOutcome } from "../src/admission/PlacementOutcome.js";
import { PlacementQueue } from "../src/admission/PlacementQueue.js";

const forever = new AbortController().signal;

describe("PlacementQueue", () => {
    let clock: ManualClock;
    let queue: PlacementQueue;
    let freeSlots: number;
    let served: string[];

    beforeEach(() => {
        clock = ManualClock.create();
        queue = PlacementQueue.create({ clock, maxCalls: 50, maxBytes: 1_000_000 });
        freeSlots = 0;
        served = [];
    });

    function callerOf(account: string, weight: number, limits: Partial<Caller> = {}): Caller {
        return { account, weight, maxConcurrentRequests: 1000, maxQueuedRequests: 40, priority: 0, ...limits };
    }

    function ask(
        caller: Caller,
        options: { deadlineMs?: number; sizeBytes?: number; signal?: AbortSignal; isHopeless?: () => boolean; } = {},
    ): Promise<PlacementOutcome<string>> {
        return queue.acquire({
            pool: "p",
            caller,
            sizeBytes: options.sizeBytes ?? 100,
            deadlineMs: options.deadlineMs ?? 1_000_000,
            isAdmitted: false,
            countsForAccount: true,
            place: () => {
                if (freeSlots === 0) {
                    return undefined;
                }
                freeSlots -= 1;
                served.push(caller.account);
                return "slot";
            },
            isHopeless: options.isHopeless ?? (() => false),
        }, options.signal ?? forever);
    }

    function free(slots: number): void {
        for (let index = 0; index < slots; index++) {
            freeSlots += 1;
            queue.released("p");
        }
    }

    it("serves a small account in its turn while another floods", async () => {
        for (let index = 0; index < 30; index++) {
            void ask(callerOf("flood", 1));
        }
        await clock.settle();
        void ask(callerOf("small", 1));
        void ask(callerOf("small", 1));
        free(4);
        expect(served.filter(account => account === "small")).to.have.length(2);
    });

    it("shares by weight while all accounts wait", async () => {
        for (let index = 0; index < 20; index++) {
            void ask(callerOf("large", 3));
            void ask(callerOf("one", 1));
        }
        free(12);
        expect(served.filter(account => account === "large")).to.have.length(9);
    });

    it("lets others pass an account that has all its calls in progress", async () => {
        freeSlots = 1;
        await ask(callerOf("busy", 1, { maxConcurrentRequests: 1 }));
        void ask(callerOf("busy", 1, { maxConcurrentRequests: 1 }));
        void ask(callerOf("other", 1));
        free(2);
        expect(served).to.deep.equal(["busy", "other"]);
        queue.leave("busy");
        expect(served).to.deep.equal(["busy", "other", "busy"]);
    });

    const refusals = [
        { name: "the account's queue", fill: 3, caller: { maxQueuedRequests: 3 }, kind: "account-queue-full" },
        { name: "the whole queue", fill: 50, caller: { maxQueuedRequests: 100 }, kind: "queue-full" },
        { name: "the queue's memory", fill: 1, caller: {}, sizeBytes: 999_950, kind: "queue-full" },
    ];
    for (const { name, fill, caller, kind, sizeBytes } of refusals) {
        it(`refuses a call at once when ${name} is full`, async () => {
            for (let index = 0; index < fill; index++) {
                void ask(callerOf("a", 1, caller));
            }
            const outcome = await ask(callerOf("a", 1, caller), { sizeBytes });
            expect(outcome.kind).to.equal(kind);
            expect(outcome).to.have.property("retryAfterMs").that.is.greaterThan(0);
            expect(queue.size).to.equal(fill);
        });
    }

    it("refuses a call at once that cannot make its deadline by the estimated wait", async () => {
        for (let index = 0; index < 10; index++) {
            void ask(callerOf("a", 1));
        }
        await clock.advance(1000);
        free(1);
        const nowMs = clock.monotonicMs();
        const outcome = await ask(callerOf("a", 1), { deadlineMs: nowMs + 5000 });
        expect(outcome).to.deep.equal({ kind: "deadline-unreachable", retryAfterMs: 10_000 });
        const other = ask(callerOf("b", 1), { deadlineMs: nowMs + 5000 });
        free(2);
        expect((await other).kind).to.equal("placed");
    });

    it("takes no idle time for a wait", async () => {
        free(1);
        await ask(callerOf("a", 1));
        await clock.advance(8000);
        for (let index = 0; index < 10; index++) {
            void ask(callerOf("a", 1));
        }
        await clock.advance(10);
        free(1);
        const patient = ask(callerOf("a", 1), { deadlineMs: clock.monotonicMs() + 5000 });
        await clock.settle();
        free(10);
        expect((await patient).kind).to.equal("placed");
    });

    it("gives up a waiting call at its deadline, and one that nothing can serve", async () => {
        const atDeadline = ask(callerOf("a", 1), { deadlineMs: 500 });
        const hopeless = ask(callerOf("a", 1), { isHopeless: () => clock.monotonicMs() >= 200 });
        await clock.advance(200);
        expect((await hopeless).kind).to.equal("no-upstream");
        await clock.advance(300);
        expect((await atDeadline).kind).to.equal("deadline-passed");
        expect(queue.size).to.equal(0);
    });

    it("forgets a call whose caller went", async () => {
        const gone = new AbortController();
        const outcome = ask(callerOf("a", 1), { signal: gone.signal });
        await clock.settle();
        gone.abort();
        expect((await outcome).kind).to.equal("aborted");
        free(1);
        expect(served).to.deep.equal([]);
    });
});
