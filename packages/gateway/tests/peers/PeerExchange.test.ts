import { ManualClock, MemoryObjectStore, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { ControllerLease } from "../../src/fleet/ControllerLease.js";
import type { FleetController } from "../../src/fleet/FleetController.js";
import { PeerConnections } from "../../src/peers/PeerConnections.js";
import { PeerExchange } from "../../src/peers/PeerExchange.js";
import { FailureRateTracker } from "../../src/placement/FailureRateTracker.js";
import { GroupDirectory } from "../../src/placement/GroupDirectory.js";
import { LoadTracker } from "../../src/placement/LoadTracker.js";
import { RetryBudget } from "../../src/placement/RetryBudget.js";
import { UpstreamDirectory } from "../../src/UpstreamDirectory.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";

/** Nobody listens there: what is told is handed over by the test. */
const NOWHERE = "127.0.0.1:1";
const EPOCH = "65537";

interface Member {
    vm: string;
    connections: PeerConnections;
    loads: LoadTracker;
    retries: RetryBudget;
    exchange: PeerExchange;
    flushes: number;
}

describe("PeerExchange", () => {
    let clock: ManualClock;
    let members: Map<string, Member>;

    function start(vms: readonly string[]): void {
        clock = ManualClock.create();
        members = new Map(vms.map(vm => [vm, createMember(vm)]));
        for (const { connections } of members.values()) {
            vms.forEach(vm => connections.add(vm, NOWHERE, vm[0]!));
        }
    }

    function createMember(vm: string): Member {
        const log = SilentDecisionLog.create();
        const random = SeededRandom.create(1);
        const loads = LoadTracker.create(clock);
        const upstreams = UpstreamDirectory.create({ clock, log, returnGraceMs: 1800 });
        const connections = PeerConnections.create({
            clock,
            random,
            log,
            vm,
            zone: vm[0]!,
            onState: () => undefined,
            onLost: () => undefined,
        });
        const retries = RetryBudget.create({
            clock,
            ratio: 0.2,
            slack: 100,
            windowMs: 10_000,
            gatewayCount: () => connections.gatewayCount,
        });
        const member: Member = {
            vm,
            connections,
            loads,
            retries,
            flushes: 0,
            exchange: PeerExchange.create({
                clock,
                log,
                vm,
                zone: vm[0]!,
                connections,
                lease: ControllerLease.create({
                    clock,
                    log,
                    store: MemoryObjectStore.create(clock),
                    vm,
                    incarnation: vm,
                    peerSilenceMs: () => 0,
                    candidateRank: () => 0,
                    isHeardByNobody: () => false,
                    hearsMostPeers: () => true,
                }),
                controller: { recentlyOpened: () => [] } as unknown as FleetController,
                loads,
                retryBudget: retries,
                upstreams,
                groups: GroupDirectory.create({
                    clock,
                    upstreams,
                    loads,
                    failureRates: FailureRateTracker.create(clock),
                    isEvacuated: () => false,
                }),
                onTraffic: () => undefined,
                flush: () => {
                    member.flushes += 1;
                },
            }),
        };
        return member;
    }

    /** Everybody is told once by those whom they follow. */
    async function tell(): Promise<void> {
        await clock.advance(100);
        for (const { vm, connections, exchange } of members.values()) {
            connections.names().forEach(peer => exchange.apply(peer, members.get(peer)!.exchange.stateFor(vm)));
        }
    }

    afterEach(() => members.forEach(({ connections }) => connections.close()));

    const fleets: ReadonlyArray<[string, string[]]> = [
        ["a small fleet", ["a1", "a2", "b1", "c1"]],
        ["zones with hubs", ["a", "b", "c"].flatMap(zone => [1, 2, 3, 4, 5, 6].map(index => `${zone}${index}`))],
    ];
    for (const [title, vms] of fleets) {
        it(`adds up the load and the retries of ${title}, each gateway's once`, async () => {
            start(vms);
            for (const { loads, retries } of members.values()) {
                loads.trackRequest(EPOCH, 10, () => undefined);
                retries.recordRequest("llm");
            }
            for (let round = 0; round < 5; round++) {
                await tell();
            }
            for (const { vm, loads, retries } of members.values()) {
                expect(loads.totalLoad(EPOCH).inFlight, vm).to.equal(vms.length);
                expect(loads.totalLoad(EPOCH).pendingPrefillTokens, vm).to.equal(vms.length * 10);
                expect(retries.counts(() => true), vm).to.deep.equal([["llm", { requests: vms.length, retries: 0 }]]);
            }
        });
    }

    it("tells those who stand by, and a whole zone, less often than the one who adds up", () => {
        start(fleets[1]![1]);
        const pauses = (vm: string, observers: string[]) =>
            observers.map(observer => members.get(vm)!.exchange.updatePauseMs(observer));
        expect(pauses("a1", ["a2", "a5", "b1", "b2"])).to.deep.equal([200, 200, 100, 400]);
        expect(pauses("a2", ["a1", "a5", "b1", "b2"])).to.deep.equal([100, 400, 100, 400]);
        expect(pauses("a5", ["a1", "a2"])).to.deep.equal([100, 400]);
    });

    it("passes on at once, through hubs, that a group is lost", async () => {
        start(fleets[1]![1]);
        await tell();
        const [hub, member] = [members.get("a1")!, members.get("a5")!];
        const told = { ...hub.exchange.stateFor("b1"), controllerDistance: 0, lostEpochs: [65537] };
        hub.exchange.apply("b1", told);
        member.exchange.apply("a1", told);
        hub.exchange.apply("b1", told);
        expect([hub.flushes, member.flushes]).to.deep.equal([1, 0]);
    });
});
