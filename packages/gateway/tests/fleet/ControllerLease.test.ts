import { ManualClock, MemoryObjectStore } from "@fescuehaven/testing";
import { expect } from "chai";
import { ControllerLease } from "../../src/fleet/ControllerLease.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";

/** A gateway as the lease sees it. */
interface Candidate {
    lease: ControllerLease;
    stop: AbortController;
    /** Silence of each peer, ms; none: Infinity. */
    silenceMs: Map<string, number>;
    isHeardByNobody: boolean;
    hearsMostPeers: boolean;
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

    function start(vm: string, rank = 0, incarnation = `${vm}-1`): Candidate {
        const candidate: Candidate = {
            lease: undefined as unknown as ControllerLease,
            stop: new AbortController(),
            silenceMs: new Map(),
            isHeardByNobody: false,
            hearsMostPeers: true,
        };
        candidate.lease = ControllerLease.create({
            clock,
            log: SilentDecisionLog.create(),
            store,
            vm,
            incarnation,
            peerSilenceMs: peer => candidate.silenceMs.get(peer) ?? Infinity,
            candidateRank: () => rank,
            isHeardByNobody: () => candidate.isHeardByNobody,
            hearsMostPeers: () => candidate.hearsMostPeers,
        });
        void follow(candidate);
        void candidate.lease.run(candidate.stop.signal);
        candidates.push(candidate);
        return candidate;
    }

    /** Brings the store's changes to a candidate, as a watch does. */
    async function follow({ lease, stop }: Candidate): Promise<void> {
        while (!stop.signal.aborted) {
            const listed = await store.list([ControllerLease.kind]);
            if (listed.kind === "listed") {
                listed.objects.forEach(object => lease.observe(object));
                lease.noteListed();
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

    it("stays with its holder while it is heard", async () => {
        const first = start("a");
        await clock.advance(500);
        const second = start("b", 1);
        second.silenceMs.set("a", 100);
        await clock.advance(20_000);
        expect([first.lease.isController, second.lease.isController]).to.deep.equal([true, false]);
    });

    it("changes hands soon after no gateway hears the holder", async () => {
        const first = start("a");
        await clock.advance(500);
        const second = start("b", 1);
        second.silenceMs.set("a", 100);
        await clock.advance(3000);
        first.stop.abort();
        second.silenceMs.delete("a");
        second.isHeardByNobody = true;
        await clock.advance(3000);
        expect([second.lease.isController, second.lease.term]).to.deep.equal([true, 2]);
    });

    it("is not taken from a holder that others still hear and that renews it", async () => {
        const first = start("a");
        await clock.advance(500);
        const second = start("b", 1);
        await clock.advance(30_000);
        expect([first.lease.isController, second.lease.isController]).to.deep.equal([true, false]);
    });

    it("is taken at once, with a new term, by a process that replaces its holder on the same VM", async () => {
        const first = start("a");
        await clock.advance(500);
        first.stop.abort();
        const second = start("a", 0, "a-2");
        await clock.advance(300);
        expect([second.lease.isController, second.lease.term]).to.deep.equal([true, 2]);
    });

    it("is given up for the next one", async () => {
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

    it("ends with a higher term that a peer knows", async () => {
        const first = start("a");
        await clock.advance(500);
        first.lease.observeTerm(7);
        expect(first.lease.isController).to.equal(false);
    });

    it("is not acted on after a pause of the process before it has been renewed", async () => {
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

    it("is acted on without the store only among most peers", async () => {
        const first = start("a");
        await clock.advance(500);
        store.faults.outage = true;
        await clock.advance(8000);
        expect(first.lease.isController).to.equal(true);
        first.hearsMostPeers = false;
        expect(first.lease.isController).to.equal(false);
    });

    it("is settled by reading when the answer to a renewal was lost", async () => {
        const first = start("a");
        await clock.advance(500);
        store.faults.loseNextAnswers = 1;
        await clock.advance(6000);
        expect(first.lease.isController).to.equal(true);
    });
});
