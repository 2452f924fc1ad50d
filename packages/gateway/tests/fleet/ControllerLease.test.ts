import type { ObjectStore } from "@fescuehaven/platform";
import { ManualClock, MemoryObjectStore } from "@fescuehaven/testing";
import { expect } from "chai";
import { ControllerLease } from "../../src/fleet/ControllerLease.js";
import type { CrashReport } from "../../src/placement/CrashReport.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";

const UNAVAILABLE = { kind: "unavailable", retryAfterMs: 100 } as const;

/** A gateway that competes for the lease. */
interface Candidate {
    lease: ControllerLease;
    stop: AbortController;
    /** Silence of each peer; Infinity for a peer that is not listed. */
    silenceMs: Map<string, number>;
    isUnfit: boolean;
    isHolderUnreachableByPeers: boolean;
    isConnectedToMostPeers: boolean;
    blocked: CrashReport;
    highestUpstreamTerm: number;
}

describe("ControllerLease", () => {
    let clock: ManualClock;
    let store: MemoryObjectStore;
    let candidates: Candidate[];

    beforeEach(() => {
        clock = ManualClock.create();
        store = MemoryObjectStore.create(clock);
        candidates = [];
    });

    afterEach(() => candidates.forEach(candidate => candidate.stop.abort()));

    function start(
        vm: string,
        rank = 0,
        incarnation = `${vm}-1`,
        ownStore: ObjectStore = store,
        watch: typeof watchStore = watchStore,
    ): Candidate {
        const candidate: Candidate = {
            lease: undefined as unknown as ControllerLease,
            stop: new AbortController(),
            silenceMs: new Map(),
            isUnfit: false,
            isHolderUnreachableByPeers: false,
            isConnectedToMostPeers: true,
            blocked: { promptParts: [], requests: [] },
            highestUpstreamTerm: 0,
        };
        candidate.lease = ControllerLease.create({
            clock,
            log: SilentDecisionLog.create(),
            store: ownStore,
            vm,
            incarnation,
            peerSilenceMs: peer => candidate.silenceMs.get(peer) ?? Infinity,
            candidateRank: () => rank,
            isUnfit: () => candidate.isUnfit,
            isHolderUnreachableByPeers: () => candidate.isHolderUnreachableByPeers,
            isConnectedToMostPeers: () => candidate.isConnectedToMostPeers,
            blockedSuspects: () => candidate.blocked,
            onBlockedSuspects: blocked => {
                candidate.blocked = blocked;
            },
            highestUpstreamTerm: () => candidate.highestUpstreamTerm,
        });
        void watch(candidate);
        void candidate.lease.run(candidate.stop.signal);
        candidates.push(candidate);
        return candidate;
    }

    /** Applies the store's objects to a candidate, as a watch does. */
    async function watchStore({ lease, stop }: Candidate): Promise<void> {
        while (!stop.signal.aborted) {
            const listed = await store.list([ControllerLease.kind]);
            if (listed.kind === "listed") {
                listed.objects.forEach(object => lease.observe(object, listed.era));
                lease.recordListing(listed.era);
            }
            await clock.sleep(50, stop.signal);
        }
    }

    function controllers(): string[] {
        return candidates.filter(({ lease }) => lease.isController).map(({ lease }) => String(lease.term));
    }

    it("makes one gateway the controller", async () => {
        ["a", "b", "c"].forEach((vm, rank) => start(vm, rank));
        await clock.advance(1000);
        expect(controllers()).to.deep.equal(["1"]);
    });

    it("keeps blocked prompt parts and requests while all gateways restart", async () => {
        const block = { ageMs: 0, trials: 0 };
        const blocked = {
            promptParts: [{ part: "bad", pool: "llm/large", crashes: [], block }],
            requests: [{ part: "fingerprint", pool: "app", crashes: [], block }],
        };
        const first = start("a");
        first.blocked = blocked;
        await clock.advance(3000);
        first.stop.abort();
        const [restarted, other] = [start("a", 0, "a-2"), start("b", 1)];
        await clock.advance(3000);
        expect(restarted.lease.isController).to.equal(true);
        expect(restarted.blocked).to.deep.equal(blocked);
        expect(other.blocked).to.deep.equal(blocked);
    });

    for (const kind of ["unavailable", "unknown"] as const) {
        it(`makes few calls while the outcome of updates is ${kind}, and is renewed soon afterwards`, async () => {
            let isRefusing = false;
            let calls = 0;
            const refusing = new Proxy(store, {
                get: (target, name) => {
                    const member = Reflect.get(target, name) as unknown;
                    if (typeof member !== "function" || (name !== "write" && name !== "read")) {
                        return member;
                    }
                    return async (...parameters: unknown[]) => {
                        calls += 1;
                        const refusal = name === "write" && kind === "unknown" ? { kind } : UNAVAILABLE;
                        return isRefusing ? refusal : Reflect.apply(member, target, parameters) as unknown;
                    };
                },
            });
            const { lease } = start("a", 0, "a-1", refusing);
            await clock.advance(1000);
            isRefusing = true;
            calls = 0;
            await clock.advance(9000);
            // A renewal is due after 2.5 s at the latest; without pauses it was tried ten times a second.
            expect(calls).to.be.within(4, kind === "unknown" ? 28 : 14);
            expect(lease.isController).to.equal(true);
            isRefusing = false;
            calls = 0;
            await clock.advance(1000);
            expect(calls).to.equal(1);
        });
    }

    it("stays with its holder while the holder is reachable", async () => {
        const first = start("a");
        await clock.advance(500);
        const second = start("b", 1);
        second.silenceMs.set("a", 100);
        await clock.advance(20_000);
        expect([first.lease.isController, second.lease.isController]).to.deep.equal([true, false]);
    });

    it("passes to another gateway while the holder is unfit to give orders, and is not acquired by an unfit one", async () => {
        const [first, second, third] = [start("a", 0), start("b", 1), start("c", 2)];
        await clock.advance(1000);
        expect(controllers()).to.deep.equal(["1"]);
        first.isUnfit = true;
        second.isUnfit = true;
        [first, second, third].forEach(({ silenceMs }) => ["a", "b", "c"].forEach(vm => silenceMs.set(vm, 100)));
        await clock.advance(1500);
        const fit = [first, second, third].map(({ lease }) => lease.isController);
        expect(fit).to.deep.equal([false, false, true]);
        first.isUnfit = false;
        await clock.advance(5000);
        expect(third.lease.isController).to.equal(true);
    });

    it("is acquired by another gateway soon after no gateway can reach the holder", async () => {
        const first = start("a");
        await clock.advance(500);
        const second = start("b", 1);
        second.silenceMs.set("a", 100);
        await clock.advance(3000);
        first.stop.abort();
        second.silenceMs.delete("a");
        second.isHolderUnreachableByPeers = true;
        await clock.advance(3000);
        expect([second.lease.isController, second.lease.term]).to.deep.equal([true, 2]);
    });

    it("is not taken from a holder that peers still reach and that renews it", async () => {
        const first = start("a");
        await clock.advance(500);
        const second = start("b", 1);
        await clock.advance(30_000);
        expect([first.lease.isController, second.lease.isController]).to.deep.equal([true, false]);
    });

    it("is acquired at once, with a new term, by a process that replaces its holder on the same VM", async () => {
        const first = start("a");
        await clock.advance(500);
        first.stop.abort();
        const second = start("a", 0, "a-2");
        await clock.advance(300);
        expect([second.lease.isController, second.lease.term]).to.deep.equal([true, 2]);
    });

    it("is acquired by another gateway after its release", async () => {
        const first = start("a");
        await clock.advance(500);
        const second = start("b", 1);
        second.silenceMs.set("a", 100);
        await clock.advance(500);
        first.stop.abort();
        await first.lease.release();
        await clock.advance(500);
        expect([first.lease.isController, second.lease.isController]).to.deep.equal([false, true]);
    });

    /** Runs until the gateway is the controller. Returns the time that it took, or Infinity. */
    async function runUntilController({ lease }: Candidate): Promise<number> {
        for (let passedMs = 0; passedMs < 10_000; passedMs += 50) {
            if (lease.isController) {
                return passedMs;
            }
            await clock.advance(50);
        }
        return Infinity;
    }

    describe("when its holder shuts down", () => {
        async function createPair(): Promise<[Candidate, Candidate]> {
            const first = start("a");
            await clock.advance(500);
            const second = start("b", 1);
            second.silenceMs.set("a", 100);
            await clock.advance(1000);
            return [first, second];
        }

        it("is not acquired again by the process that released it", async () => {
            const [first, second] = await createPair();
            await first.lease.release();
            expect(first.lease.isController).to.equal(false);
            expect(await runUntilController(second)).to.be.at.most(500);
            await clock.advance(10_000);
            expect([first.lease.isController, second.lease.isController]).to.deep.equal([false, true]);
        });

        it("is not acquired by a process that has released it, even if no other gateway does", async () => {
            const first = start("a");
            await clock.advance(1000);
            await first.lease.release();
            await clock.advance(20_000);
            expect([first.lease.isController, first.lease.term]).to.deep.equal([false, 1]);
        });

        it("is not acquired by a process that shuts down without having held it", async () => {
            const [first, second] = await createPair();
            await second.lease.release();
            first.stop.abort();
            await first.lease.release();
            await clock.advance(10_000);
            expect([first.lease.isController, second.lease.isController]).to.deep.equal([false, false]);
        });

        it("is released as soon as the store is available again", async () => {
            const [first, second] = await createPair();
            store.faults.outage = true;
            await first.lease.release();
            await clock.advance(2000);
            store.faults.outage = false;
            expect(await runUntilController(second)).to.be.at.most(500);
            expect(first.lease.isController).to.equal(false);
        });

        it("is released although a renewal is in progress", async () => {
            const [first, second] = await createPair();
            store.faults.delayMs = 150;
            const { write: writesBefore } = store.calls;
            while (store.calls.write === writesBefore) {
                await clock.advance(10);
            }
            const released = first.lease.release();
            expect(await runUntilController(second)).to.be.at.most(1500);
            await released;
            await clock.advance(3000);
            expect([first.lease.isController, second.lease.isController]).to.deep.equal([false, true]);
        });
    });

    it("makes nobody the controller once a peer knows a higher term", async () => {
        const first = start("a");
        await clock.advance(500);
        first.lease.observeTerm(7);
        expect(first.lease.isController).to.equal(false);
    });

    it("does not make its holder the controller after a pause of the process until it has been renewed", async () => {
        const first = start("a");
        await clock.advance(500);
        clock.pause(5000);
        await clock.settle();
        store.faults.outage = true;
        await clock.advance(200);
        expect(first.lease.isController).to.equal(false);
        store.faults.outage = false;
        await clock.advance(500);
        expect(first.lease.isController).to.equal(true);
    });

    it("makes its holder the controller without the store only while most peers are connected", async () => {
        const first = start("a");
        await clock.advance(500);
        store.faults.outage = true;
        await clock.advance(8000);
        expect(first.lease.isController).to.equal(true);
        first.isConnectedToMostPeers = false;
        expect(first.lease.isController).to.equal(false);
    });

    describe("in a store that was restored from an older copy", () => {
        function storedLease(): { vm: string; term: number; } | undefined {
            return store.peek(ControllerLease.kind, "fleet")?.value as { vm: string; term: number; } | undefined;
        }

        it("is written again by its holder, which stays the controller, if the copy has no lease", async () => {
            const copy = store.copy();
            const first = start("a");
            await clock.advance(1000);
            const second = start("b", 1);
            second.silenceMs.set("a", 100);
            await clock.advance(500);
            store.restore(copy);
            await clock.advance(300);
            expect([storedLease()?.vm, controllers()]).to.deep.equal(["a", ["1"]]);
            await clock.advance(10_000);
            expect([first.lease.isController, controllers()]).to.deep.equal([true, ["1"]]);
        });

        it("is written again by its holder if the copy has an older renewal", async () => {
            const first = start("a");
            await clock.advance(1000);
            const copy = store.copy();
            await clock.advance(6000);
            store.restore(copy);
            await clock.advance(300);
            const renewals = (store.peek(ControllerLease.kind, "fleet")?.value as { renewals: number; }).renewals;
            expect([first.lease.isController, renewals]).to.deep.equal([true, 3]);
            await clock.advance(20_000);
            expect(first.lease.isController).to.equal(true);
        });

        it("has one controller, in the higher term, if the copy names an earlier holder", async () => {
            const first = start("a");
            await clock.advance(1000);
            const copy = store.copy();
            const second = start("b", 1);
            await clock.advance(100);
            first.lease.observeTerm(2);
            await store.remove({ kind: ControllerLease.kind, name: "fleet" }, 1);
            await store.write(
                { kind: ControllerLease.kind, name: "fleet" },
                { vm: "b", incarnation: "b-1", term: 2, renewals: 0 },
                0,
            );
            await clock.advance(300);
            expect(second.lease.isController).to.equal(true);
            store.restore(copy);
            await clock.advance(300);
            expect([storedLease()?.vm, storedLease()?.term, controllers()]).to.deep.equal(["b", 2, ["2"]]);
        });

        it("does not count if its revision was assigned again and names another's lease of the same term", async () => {
            const key = { kind: ControllerLease.kind, name: "fleet" };
            store.restore(store.copy());
            await store.write(key, { vm: "b", incarnation: "b-1", term: 2, renewals: 0, era: 1 }, 0);
            const unaware: ObjectStore = {
                read: store.read.bind(store),
                list: store.list.bind(store),
                write: (writtenKey, value, expected) => store.write(writtenKey, value, expected),
                remove: (removedKey, expected) => store.remove(removedKey, expected),
                watch: store.watch.bind(store),
            };
            const late = start("c", 0, "c-1", unaware, async ({ lease }) => {
                lease.observe({ ...key, revision: 1, value: { vm: "", incarnation: "", term: 1, renewals: 9 } });
                lease.recordListing();
            });
            await clock.advance(100);
            expect([storedLease()?.vm, storedLease()?.term, late.lease.isController]).to.deep.equal(["c", 2, false]);
            await clock.advance(3000);
            expect([storedLease()?.vm, late.lease.isController]).to.deep.equal(["c", true]);
            expect(storedLease()?.term).to.be.above(2);
        });

        it("is acquired in a term above all that an upstream has seen", async () => {
            const copy = store.copy();
            const first = start("a");
            await clock.advance(1000);
            first.stop.abort();
            store.restore(copy);
            const second = start("b");
            second.highestUpstreamTerm = 7;
            await clock.advance(1000);
            expect([second.lease.isController, second.lease.term]).to.deep.equal([true, 8]);
        });

        it("makes nobody the controller in a term below one that an upstream has seen", async () => {
            const first = start("a");
            await clock.advance(1000);
            const copy = store.copy();
            await clock.advance(1000);
            first.highestUpstreamTerm = 3;
            store.restore(copy);
            await clock.advance(100);
            expect(first.lease.isController).to.equal(false);
            await clock.advance(3000);
            expect([first.lease.isController, first.lease.term]).to.deep.equal([true, 4]);
        });

        it("is acquired by another gateway if its holder has gone", async () => {
            const first = start("a");
            await clock.advance(500);
            const copy = store.copy();
            const second = start("b", 1);
            second.silenceMs.set("a", 100);
            await clock.advance(3000);
            first.stop.abort();
            second.silenceMs.delete("a");
            second.isHolderUnreachableByPeers = true;
            store.restore(copy);
            await clock.advance(3000);
            expect([second.lease.isController, second.lease.term]).to.deep.equal([true, 2]);
        });

        it("ends the term of a holder that does not reach the store before another one gives orders", async () => {
            const first = start("a");
            await clock.advance(1000);
            const copy = store.copy();
            first.stop.abort();
            store.restore(copy);
            const second = start("b");
            second.isHolderUnreachableByPeers = true;
            await clock.advance(3000);
            first.lease.observeTerm(second.lease.term);
            expect([first.lease.isController, second.lease.isController, second.lease.term]).to.deep.equal([
                false,
                true,
                2,
            ]);
        });
    });

    it("is resolved by a read when the response to a renewal was lost", async () => {
        const first = start("a");
        await clock.advance(500);
        store.faults.loseNextAnswers = 1;
        await clock.advance(6000);
        expect(first.lease.isController).to.equal(true);
    });
});
