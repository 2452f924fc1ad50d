import { ManualClock, MemoryObjectStore, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { ControllerLease } from "../../src/fleet/ControllerLease.js";
import type { FleetController } from "../../src/fleet/FleetController.js";
import { DemandSchedule } from "../../src/peers/DemandSchedule.js";
import { PeerConnections } from "../../src/peers/PeerConnections.js";
import { PeerExchange } from "../../src/peers/PeerExchange.js";
import { AnnouncedLimits } from "../../src/placement/AnnouncedLimits.js";
import { CrashGuard } from "../../src/placement/CrashGuard.js";
import type { CrashSubjects } from "../../src/placement/CrashSubjects.js";
import { estimateTokens } from "../../src/placement/estimateTokens.js";
import { FailureRateTracker } from "../../src/placement/FailureRateTracker.js";
import { FleetDemand } from "../../src/placement/FleetDemand.js";
import { GroupDirectory } from "../../src/placement/GroupDirectory.js";
import { LoadTracker } from "../../src/placement/LoadTracker.js";
import { RetryBudget } from "../../src/placement/RetryBudget.js";
import { UpstreamDirectory } from "../../src/UpstreamDirectory.js";
import { exampleEngine } from "../support/exampleEngine.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";
import { unreachableAddress } from "../support/unreachableAddress.js";

const EPOCH = "65537";

interface TestGateway {
    vm: string;
    connections: PeerConnections;
    loads: LoadTracker;
    retries: RetryBudget;
    demand: FleetDemand;
    crashGuard: CrashGuard;
    announcedLimits: AnnouncedLimits;
    exchange: PeerExchange;
    flushes: number;
    upstreams: UpstreamDirectory;
}

/** Returns what a request has whose prompt consists of the parts. */
function subjectsOf(...promptParts: readonly string[]): CrashSubjects {
    return { fingerprint: promptParts.join("/"), promptParts };
}

describe("PeerExchange", () => {
    let clock: ManualClock;
    let gateways: Map<string, TestGateway>;

    function start(vms: readonly string[]): void {
        clock = ManualClock.create();
        gateways = new Map(vms.map(vm => [vm, createGateway(vm)]));
        for (const { connections } of gateways.values()) {
            // The test itself passes the states from one to another.
            vms.forEach(vm => connections.add(vm, { address: unreachableAddress, zone: vm[0]! }));
        }
    }

    function createGateway(vm: string): TestGateway {
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
            onDisconnected: () => undefined,
        });
        const retries = RetryBudget.create({
            clock,
            ratio: 0.2,
            slack: 100,
            windowMs: 10_000,
            gatewayCount: () => connections.position?.count,
        });
        const demand = FleetDemand.create({
            clock,
            zone: vm[0]!,
            knownGateways: () => retries.countedGateways(() => true),
        });
        const crashGuard = CrashGuard.create({
            clock,
            log,
            position: () => connections.position,
        });
        const announcedLimits = AnnouncedLimits.create({ clock, random, log, isRegistered: () => true });
        const gateway: TestGateway = {
            vm,
            upstreams,
            crashGuard,
            announcedLimits,
            connections,
            loads,
            retries,
            demand,
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
                    isUnfit: () => false,
                    isHolderUnreachableByPeers: () => false,
                    isConnectedToMostPeers: () => true,
                    blockedSuspects: () => ({ promptParts: [], requests: [] }),
                    onBlockedSuspects: () => undefined,
                    highestUpstreamTerm: () => 0,
                }),
                controller: { recentlyOpened: () => [] } as unknown as FleetController,
                loads,
                retryBudget: retries,
                demand,
                crashGuard,
                announcedLimits,
                upstreams,
                groups: GroupDirectory.create({
                    clock,
                    upstreams,
                    loads,
                    failureRates: FailureRateTracker.create(clock),
                    isEvacuated: () => false,
                }),
                configurationVersion: () => 1,
                configurationAgeMs: () => Infinity,
                unreachableServices: () => [],
                onTraffic: () => undefined,
                flush: () => {
                    gateway.flushes += 1;
                },
            }),
        };
        return gateway;
    }

    /** Passes each gateway the states of the peers that it follows and that are connected, once. */
    async function exchangeStates(
        isConnected: (vm: string, peer: string) => boolean = () => true,
    ): Promise<void> {
        await clock.advance(100);
        for (const { vm, connections, exchange } of gateways.values()) {
            connections.followedPeers().filter(peer => isConnected(vm, peer)).forEach(peer =>
                exchange.apply(peer, gateways.get(peer)!.exchange.stateFor(vm))
            );
        }
    }

    afterEach(() => gateways.forEach(({ connections }) => connections.close()));

    // Guards against standby hubs that spend their processor time on loads which no receiver uses.
    it("sends updates often only to gateways that use the sender's load", () => {
        start(["a", "b"].flatMap(zone => [1, 2, 3, 4].map(index => `${zone}${index}`)));
        const intervalMs = (vm: string, observer: string) => gateways.get(vm)!.exchange.updateIntervalMs(observer);
        const used = [["a1", "b1"], ["a2", "a1"], ["a3", "a1"], ["a1", "a3"]] as const;
        const unused = [["a2", "b1"], ["a2", "b2"], ["a1", "b2"], ["a2", "a3"], ["a3", "a2"]] as const;
        expect(used.map(([vm, observer]) => intervalMs(vm, observer))).to.deep.equal([100, 100, 100, 200]);
        expect(unused.map(([vm, observer]) => intervalMs(vm, observer))).to.deep.equal(unused.map(() => 400));
    });

    it("tells when the store confirmed the configuration according to one peer", async () => {
        start(["a1", "a2", "a3"]);
        const { exchange } = gateways.get("a1")!;
        const state = gateways.get("a2")!.exchange.stateFor("a1");
        const nowMs = clock.monotonicMs();
        // Guards against an age that does not grow, as two gateways confirm each other's configuration.
        exchange.apply("a2", { ...state, configurationAgeMs: 900 });
        exchange.apply("a3", { ...state, configurationAgeMs: 10 });
        expect(exchange.configurationConfirmedAtMs("a2")).to.equal(nowMs - 900);
        exchange.apply("a2", { ...state, configurationAgeMs: 900, configurationVersion: 2 });
        expect(exchange.configurationConfirmedAtMs("a2")).to.equal(-Infinity);
        // A build that does not state it.
        exchange.apply("a2", state);
        expect(exchange.configurationConfirmedAtMs("a2")).to.equal(undefined);
        exchange.removePeer("a3");
        expect(exchange.configurationConfirmedAtMs("a3")).to.equal(undefined);
    });

    it("computes the evidence of crashing prompts once for all its peers", async () => {
        start(["a1", "a2", "a3"]);
        const { crashGuard, exchange } = gateways.get("a1")!;
        crashGuard.recordCrash(subjectsOf("part"), "upstream/1", "llm");
        const { crashEvidence } = exchange.stateFor("a2");
        expect(crashEvidence.promptParts.map(({ part }) => part)).to.deep.equal(["part"]);
        expect(exchange.stateFor("a3").crashEvidence).to.equal(crashEvidence);
        await clock.advance(100);
        crashGuard.recordCrash(subjectsOf("other part"), "upstream/2", "llm");
        expect(exchange.stateFor("a2").crashEvidence.promptParts.map(({ part }) => part)).to.have.members([
            "part",
            "other part",
        ]);
    });

    const tokens = estimateTokens({ ...exampleEngine, kvCacheTokens: 100_000 }, {
        promptTokens: 1000,
        maxAnswerTokens: 100,
    });
    const fleets: ReadonlyArray<[string, string[]]> = [
        ["a small fleet", ["a1", "a2", "b1", "c1"]],
        ["zones with hubs", ["a", "b", "c"].flatMap(zone => [1, 2, 3, 4, 5, 6].map(index => `${zone}${index}`))],
    ];
    for (const [title, vms] of fleets) {
        it(`adds up the load and the retries of ${title}, each gateway's once`, async () => {
            start(vms);
            for (const { vm, loads, retries } of gateways.values()) {
                // One gateway counts no tokens, as old builds: the mean of the others is assumed for its requests.
                loads.trackRequest(EPOCH, "llm", 10, () => undefined, vm === vms.at(-1) ? undefined : tokens);
                retries.recordRequest("llm");
            }
            for (let pass = 0; pass < 5; pass++) {
                await exchangeStates();
            }
            for (const { vm, loads, retries } of gateways.values()) {
                expect(loads.totalLoad(EPOCH).inFlight, vm).to.equal(vms.length);
                expect(loads.totalLoad(EPOCH).heldTokens, vm).to.be.closeTo(vms.length * 1100, 1);
                expect(loads.totalLoad(EPOCH).pendingPrefillTokens, vm).to.equal(vms.length * 10);
                expect(retries.counts(() => true), vm).to.deep.equal([["llm", { requests: vms.length, retries: 0 }]]);
                expect(retries.countedGateways(() => true), vm).to.equal(vms.length);
            }
        });
    }

    for (const [title, vms] of fleets) {
        it(`adds up the crashes that each gateway of ${title} has seen under a prompt part`, async () => {
            start(vms);
            await exchangeStates();
            const guards = vms.map(vm => gateways.get(vm)!.crashGuard);
            guards.slice(0, 5).forEach((guard, index) =>
                guard.recordCrash(subjectsOf("bad", `own-${index}`), `u${index}`, "llm")
            );
            for (let pass = 0; pass < 6; pass++) {
                await exchangeStates();
            }
            guards.slice(0, 5).forEach((guard, index) =>
                guard.recordCrash(subjectsOf("bad", `own-${index}`), `v${index}`, "llm")
            );
            for (let pass = 0; pass < 12; pass++) {
                await exchangeStates();
                guards.forEach(guard => guard.recordBegun(subjectsOf("sound"), "llm"));
            }
            expect(guards.map(guard => guard.isBlocked(subjectsOf("sound", "bad")))).to.deep.equal(vms.map(() => true));
            expect(guards.map(guard => guard.isBlocked(subjectsOf("sound", "own-0")))).to.deep.equal(
                vms.map(() => false),
            );
        });
    }

    for (const [title, vms] of fleets) {
        it(`adds up the crashes that each gateway of ${title} has seen under one request`, async () => {
            start(vms);
            const subjects = { fingerprint: "crashing", promptParts: [] };
            const guards = vms.map(vm => gateways.get(vm)!.crashGuard);
            guards.slice(0, 3).forEach((guard, index) => guard.recordCrash(subjects, `u${index}`, "app"));
            for (let pass = 0; pass < 12; pass++) {
                await exchangeStates();
            }
            expect(guards.map(guard => guard.isBlocked(subjects))).to.deep.equal(vms.map(() => true));
        });

        it(`brings the limit that an upstream announces to one gateway to all of ${title}`, async () => {
            start(vms);
            const upstream = exampleUpstream("u1");
            const [first] = gateways.values();
            first!.announcedLimits.recordResponse(upstream, { kind: "limited", requestsPerSecond: 2 }, 0);
            for (let pass = 0; pass < 6; pass++) {
                await exchangeStates();
            }
            const known = [...gateways.values()].map(({ announcedLimits }) =>
                announcedLimits.requestsPerSecond(upstream)
            );
            expect(known).to.deep.equal(vms.map(() => 2));
        });
    }

    /** Passes states every 100 ms for a time, with figures on the schedule of the publisher. */
    async function exchangeDemand(
        durationMs: number,
        onPass: () => void,
        { isOld = () => false, isConnected = () => true }: {
            isOld?: (vm: string) => boolean;
            isConnected?: (vm: string, peer: string) => boolean;
        } = {},
    ): Promise<void> {
        const schedules = new Map<string, DemandSchedule>();
        for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
            await clock.advance(100);
            for (const { vm, connections, exchange } of gateways.values()) {
                for (const peer of connections.followedPeers().filter(other => isConnected(vm, other))) {
                    const sender = gateways.get(peer)!.exchange;
                    const schedule = schedules.get(`${peer}/${vm}`) ?? DemandSchedule.create(clock);
                    schedules.set(`${peer}/${vm}`, schedule);
                    const delayMs = sender.demandDelayMs(vm);
                    const isDue = schedule.isDue(delayMs) && !isOld(peer);
                    schedule.recordSent(delayMs);
                    const { demand: _demand, ...state } = sender.stateFor(vm);
                    exchange.apply(peer, isDue ? { ...state, demand: sender.demandFor(vm) } : state);
                }
            }
            onPass();
        }
    }

    for (const [title, vms] of fleets) {
        // Guards against figures that are older than two seconds after two hubs, or that count a gateway twice.
        it(`adds up the demand of ${title}, each gateway's once and at most two seconds old`, async () => {
            start(vms);
            let passes = 0;
            await exchangeDemand(8000, () => {
                passes += 1;
                for (const { vm, demand } of gateways.values()) {
                    // Two requests a second at each gateway.
                    if (passes % 5 === 0) {
                        const outcome = { service: "llm", model: "large", rank: 101, account: "acme" };
                        demand.record({ ...outcome, kind: "offered" });
                        demand.record({ ...outcome, kind: passes % 10 === 0 ? "admitted" : "refused" });
                    }
                    const figures = demand.poolDemand("llm", "large");
                    if (passes > 30) {
                        const perSecond = { ...figures, offered: figures.offeredPerSecond, zone: 0 };
                        perSecond.zone = demand.zoneDemand("llm", "large", vm[0]!).offeredPerSecond;
                        const inZone = vms.filter(other => other[0] === vm[0]).length;
                        expect(perSecond.offered, vm).to.equal(vms.length * 2);
                        expect(perSecond.zone, vm).to.equal(inZone * 2);
                        expect(perSecond.ranks.map(({ rank, accounts }) => [rank, accounts.map(([, n]) => n)])).to.deep
                            .equal([[101, [vms.length * 2]]]);
                        expect(figures.isComplete, vm).to.equal(true);
                        expect(figures.ageMs, vm).to.be.below(2000);
                    }
                }
            });
        });

        // Guards against decisions on a part of the demand while builds that do not state it are in the fleet.
        it(`reports the demand of ${title} as incomplete while a gateway of an old build does not state it`, async () => {
            start(vms);
            const incomplete = () => vms.filter(vm => !gateways.get(vm)!.demand.poolDemand("llm", "x").isComplete);
            // A hub where there are hubs, then a gateway that is none.
            for (const old of [vms[0]!, vms.at(-1)!]) {
                await exchangeDemand(4000, () => undefined, { isOld: vm => vm === old });
                expect(incomplete()).to.include.members(vms.filter(vm => vm !== old));
                await exchangeDemand(4000, () => undefined);
                expect(incomplete()).to.deep.equal([]);
            }
            // A side of a partition decides with the gateways that it still reaches.
            gateways.get("a1")!.connections.followedPeers().filter(peer => peer[0] !== "a")
                .forEach(peer => gateways.get("a1")!.exchange.removePeer(peer));
            expect(incomplete()).not.to.include("a1");
            expect(gateways.get("a1")!.demand.reportingGateways).to.equal(vms.filter(vm => vm[0] === "a").length);
        });
    }

    it("leaves out the demand of a zone whose hub is silent, and counts what is still reached as complete", async () => {
        start(fleets[1]![1]);
        await exchangeDemand(4000, () => undefined);
        await exchangeDemand(4000, () => undefined, { isConnected: (vm, peer) => vm !== "a1" && peer !== "a1" });
        const seen = ["a1", "a5", "b1", "b5"].map(vm => gateways.get(vm)!.demand);
        expect(seen.map(({ reportingGateways }) => reportingGateways)).to.deep.equal([1, 1, 12, 12]);
        expect(seen.map(demand => demand.poolDemand("llm", "large").isComplete)).to.deep.equal(seen.map(() => true));
    });

    it("tells 80 gateways within half a second that an upstream is leaving", async () => {
        const vms = ["a", "b", "c", "d"].flatMap(zone => Array.from({ length: 20 }, (_, index) => `${zone}${index}`));
        start(vms);
        for (const { upstreams } of gateways.values()) {
            upstreams.set(exampleUpstream("u1"));
        }
        const last = gateways.get("d19")!;
        last.upstreams.recordLeaving({ upstream: "u1", startedAtMs: 1000, ageMs: 0 }, "response");
        // A leaf reports to its hub at the next interval; hubs pass on at once what is new to them.
        await exchangeStates();
        await exchangeStates();
        await exchangeStates();
        expect(clock.monotonicMs()).to.be.at.most(500);
        const states = [...gateways.values()].map(({ upstreams }) => upstreams.get("u1")?.state);
        expect(states).to.deep.equal(vms.map(() => "draining"));
        expect(gateways.get("a0")!.flushes).to.equal(1);
    });

    it("keeps the retries of zones that are partitioned from each other within the budget of all", async () => {
        start(fleets[1]![1]);
        for (let pass = 0; pass < 5; pass++) {
            await exchangeStates();
        }
        for (let pass = 0; pass < 20; pass++) {
            await exchangeStates((vm, peer) => vm[0] === peer[0]);
        }
        let acquired = 0;
        for (const vm of ["a5", "b5", "c5"]) {
            while (gateways.get(vm)!.retries.tryAcquire("llm")) {
                acquired += 1;
            }
        }
        expect(acquired).to.be.within(60, 100);
    });

    it("takes a peer for the controller only if it says so in a state of the highest term", async () => {
        start(["a1", "a2", "b1"]);
        const { connections, exchange } = gateways.get("a1")!;
        connections.connectedPeers = () => connections.followedPeers();
        const state = gateways.get("a2")!.exchange.stateFor("a1");
        exchange.apply("a2", { ...state, term: 3, controllerDistance: 0 });
        exchange.apply("b1", { ...state, term: 3, controllerDistance: 1 });
        expect(exchange.controllerPeer()).to.equal("a2");
        exchange.apply("b1", { ...state, term: 4, controllerDistance: 9 });
        expect(exchange.controllerPeer()).to.equal(undefined);
        exchange.apply("b1", { ...state, term: 4, controllerDistance: 0 });
        expect(exchange.controllerPeer()).to.equal("b1");
        exchange.apply("b1", { ...state, term: 4, controllerDistance: 1 });
        expect(exchange.controllerPeer()).to.equal(undefined);
    });

    it("updates inactive hubs and a hub's zone less often than the active hub", () => {
        start(fleets[1]![1]);
        const intervalsMs = (vm: string, observers: string[]) =>
            observers.map(observer => gateways.get(vm)!.exchange.updateIntervalMs(observer));
        expect(intervalsMs("a1", ["a2", "a5", "b1", "b2"])).to.deep.equal([200, 200, 100, 400]);
        expect(intervalsMs("a2", ["a1", "a5", "b1", "b2"])).to.deep.equal([100, 400, 400, 400]);
        expect(intervalsMs("a5", ["a1", "a2"])).to.deep.equal([100, 400]);
    });

    it("relays through hubs at once that a group is lost", async () => {
        start(fleets[1]![1]);
        await exchangeStates();
        const [hub, follower] = [gateways.get("a1")!, gateways.get("a5")!];
        const state = { ...hub.exchange.stateFor("b1"), controllerDistance: 0, lostEpochs: [65537] };
        hub.exchange.apply("b1", state);
        follower.exchange.apply("a1", state);
        hub.exchange.apply("b1", state);
        expect([hub.flushes, follower.flushes]).to.deep.equal([1, 0]);
    });

    // Guards against a zone that gets each news twice, which takes the processor time of both of its hubs.
    it("relays news through the active hub at once, and through the inactive one at its next update", async () => {
        start(fleets[1]![1]);
        await exchangeStates();
        for (const vm of ["a1", "a2"]) {
            const { exchange, upstreams } = gateways.get(vm)!;
            upstreams.set(exampleUpstream("u1"));
            const news = {
                controllerDistance: 0,
                lostEpochs: [65537],
                leavingUpstreams: [{ upstream: "u1", startedAtMs: 1000, ageMs: 0 }],
            };
            exchange.apply("b1", { ...exchange.stateFor("b1"), ...news });
            await clock.advance(100);
            expect(exchange.stateFor("a5").leavingUpstreams.map(({ upstream }) => upstream)).to.deep.equal(["u1"]);
        }
        expect(["a1", "a2"].map(vm => gateways.get(vm)!.flushes)).to.deep.equal([2, 0]);
    });
});
