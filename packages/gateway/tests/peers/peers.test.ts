import { PeerServer } from "@fescuehaven/daemon";
import { ViewService } from "@fescuehaven/protocol";
import { SystemClock, SystemRandom } from "@fescuehaven/runtime";
import { ManualClock, MemoryObjectStore, SeededRandom, SilentRelay, untilTrue } from "@fescuehaven/testing";
import { expect } from "chai";
import { PeerAssistedStore } from "../../src/peers/PeerAssistedStore.js";
import { PeerConnections } from "../../src/peers/PeerConnections.js";
import type { PeerState } from "../../src/peers/PeerState.js";
import { PeerStatePublisher } from "../../src/peers/PeerStatePublisher.js";
import { ViewServiceHandler } from "../../src/peers/ViewServiceHandler.js";
import type { ViewSource } from "../../src/peers/ViewSource.js";
import type { DemandReport } from "../../src/placement/DemandReport.js";
import { StoreEras } from "../../src/StoreEras.js";
import { WatchCache } from "../../src/WatchCache.js";
import { freePort } from "../support/freePort.js";
import { noMetrics } from "../support/noMetrics.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";
import { unreachableAddress } from "../support/unreachableAddress.js";

const state: PeerState = {
    term: 3,
    controllerDistance: 0,
    loads: [
        ["65537", { inFlight: 4, pendingPrefillTokens: 1200, silentMs: 15 }],
        ["65538", { inFlight: 2, pendingPrefillTokens: 0, silentMs: 20, heldTokens: 4400 }],
    ],
    retries: [["llm", { requests: 40, retries: 2 }]],
    countedGateways: 4,
    configurationVersion: 7,
    configurationAgeMs: 250,
    unreachableServices: ["llm"],
    lostEpochs: [65536],
    leavingUpstreams: [{ upstream: "u2", startedAtMs: 1000, ageMs: 50 }],
    announcedLimits: [
        { upstream: "u1", startedAtMs: 1000, requestsPerSecond: 2.5, id: 7, ageMs: 20, requestAgeMs: 45 },
        { upstream: "u2", startedAtMs: 2000, requestsPerSecond: undefined, id: 8, ageMs: 30, requestAgeMs: 60 },
    ],
    crashEvidence: {
        promptParts: [{
            part: "p1",
            pool: "llm/large",
            crashes: [{ upstream: 5, ageMs: 70 }],
            begun: { id: 3, ageMs: 900 },
            block: { ageMs: 60, trials: 1 },
        }],
        requests: [{ part: "r1", pool: "app", crashes: [], begun: undefined, block: undefined }],
    },
    openGroups: [{ head: "u1", name: "g", epoch: 65537, model: "large" }],
};

const demand: DemandReport = {
    pools: [{
        service: "llm",
        model: "large",
        zone: "b",
        ranks: [{ rank: 102, offered: 9, admitted: 7, refused: 2, late: 1, accounts: [[4_000_000_000, 5], [7, 4]] }],
    }],
    gateways: 3,
    ageMs: 240,
};

const MAX_VIEW_AGE_MS = 400;
const SILENCE_LIMIT_MS = 600;
/** Time for reading the store instead, on a loaded machine. */
const REACTION_MS = 400;

function createViewService(cache: WatchCache): ViewServiceHandler {
    return ViewServiceHandler.create({
        log: SilentDecisionLog.create(),
        caches: new Map([["things", cache]]),
        newestEra: () => 0,
        activeConfiguration: () => ({ version: 7 }),
    });
}

describe("connections between gateways", () => {
    const clock = SystemClock.create();
    let server: PeerServer;
    let port: number;
    let cache: WatchCache;
    let isCurrent: boolean;
    let observers: string[];
    let viewAgeMs: () => number;
    /** False for a build that does not know the figures. */
    let statesDemand: boolean;
    /** Compressions that clients have accepted. */
    let acceptedEncodings: string[];

    beforeEach(async () => {
        port = await freePort();
        isCurrent = true;
        observers = [];
        viewAgeMs = () => 0;
        statesDemand = true;
        acceptedEncodings = [];
        cache = WatchCache.create(clock, () => isCurrent, {
            ageMs: () => viewAgeMs(),
            maxAgeMs: () => MAX_VIEW_AGE_MS,
        });
        cache.applyListing([{ kind: "things", name: "a", revision: 3, value: { x: 1 } }]);
        cache.advance(5);
        const publisher = PeerStatePublisher.create({
            clock,
            snapshot: observer => {
                observers.push(observer);
                return state;
            },
            intervalMs: () => 100,
            demand: () => demand,
            demandDelayMs: () => statesDemand ? 0 : Infinity,
        });
        server = PeerServer.create({
            host: "127.0.0.1",
            port,
            services: [
                router => publisher.registerOn(router),
                router => createViewService(cache).registerOn(router),
            ],
            interceptors: [next => request => {
                acceptedEncodings.push(request.header.get("grpc-accept-encoding") ?? "");
                return next(request);
            }],
        });
        await server.listen();
    });

    afterEach(() => server.close());

    for (const [zone, encodings] of [["a", ""], ["b", "gzip,br"]] as const) {
        // Guards against hubs that spend their processor time on compressing each message to each gateway of their zone.
        it(`accept ${encodings === "" ? "no compression" : "compression"} from a peer of zone ${zone}`, async () => {
            const connections = PeerConnections.create({
                clock,
                random: SystemRandom.create(),
                log: SilentDecisionLog.create(),
                vm: "me",
                zone: "a",
                onState: () => undefined,
                onDisconnected: () => undefined,
            });
            connections.add("me", { address: unreachableAddress, zone: "a" });
            connections.add("other", { address: `127.0.0.1:${port}`, zone });
            await untilTrue(clock, "the peer is connected", 2000, () => connections.connectedPeers().length === 1);
            expect(acceptedEncodings).to.deep.equal([encodings]);
            const store = PeerAssistedStore.create({
                clock,
                random: SystemRandom.create(),
                log: SilentDecisionLog.create(),
                eras: StoreEras.create({ clock, log: SilentDecisionLog.create(), metrics: noMetrics }),
                store: MemoryObjectStore.create(clock),
                source: () => connections.reachablePeer("other"),
                peers: () => [],
                silenceLimitMs: SILENCE_LIMIT_MS,
                onSourceLost: () => undefined,
            });
            await store.list(["things"], "read");
            expect(acceptedEncodings).to.deep.equal([encodings, encodings]);
            connections.close();
        });
    }

    it("receive a peer's state unchanged and report a disconnected peer", async () => {
        let onDisconnected: (peer: string) => void = () => undefined;
        const disconnected = new Promise<string>(resolve => {
            onDisconnected = resolve;
        });
        const connections = await new Promise<PeerConnections>(resolve => {
            const created = PeerConnections.create({
                clock,
                random: SystemRandom.create(),
                log: SilentDecisionLog.create(),
                vm: "me",
                zone: "a",
                onState: (peer, received) => {
                    expect([peer, received]).to.deep.equal(["other", { ...state, demand }]);
                    resolve(created);
                },
                onDisconnected: peer => onDisconnected(peer),
            });
            created.add("me", { address: unreachableAddress, zone: "a" });
            created.add("other", { address: `127.0.0.1:${port}`, zone: "b" });
        });
        expect(observers[0]).to.equal("me");
        expect(connections.connectedPeers()).to.deep.equal(["other"]);
        expect(connections.isZoneReachable("b")).to.equal(true);
        expect(connections.gatewayCount).to.equal(2);
        await server.close();
        expect(await disconnected).to.equal("other");
        connections.close();
    });

    it("receive no demand from a build that does not state it", async () => {
        statesDemand = false;
        let received: PeerState | undefined;
        const connections = PeerConnections.create({
            clock,
            random: SystemRandom.create(),
            log: SilentDecisionLog.create(),
            vm: "me",
            zone: "a",
            onState: (_, ofPeer) => {
                received = ofPeer;
            },
            onDisconnected: () => undefined,
        });
        connections.add("me", { address: unreachableAddress, zone: "a" });
        connections.add("other", { address: `127.0.0.1:${port}`, zone: "b" });
        await untilTrue(clock, "a state is received", 2000, () => received !== undefined);
        expect(received).to.deep.equal(state);
        connections.close();
    });

    it("are not opened again after they were closed", () => {
        const connections = PeerConnections.create({
            clock: ManualClock.create(),
            random: SeededRandom.create(1),
            log: SilentDecisionLog.create(),
            vm: "gateway-1",
            zone: "a",
            onState: () => undefined,
            onDisconnected: () => undefined,
        });
        connections.add("gateway-0", { address: `127.0.0.1:${port}`, zone: "a" });
        connections.add("gateway-1", { address: unreachableAddress, zone: "a" });
        expect(connections.followedPeers()).to.deep.equal(["gateway-0"]);
        connections.close();
        connections.update();
        expect(connections.followedPeers()).to.deep.equal([]);
    });

    describe("reading the store through peers", () => {
        let platformStore: MemoryObjectStore;
        let silent: AbortController;
        let hubs: ViewSource[];
        let fallbackPeers: ViewSource[];
        let log: SilentDecisionLog;
        let store: PeerAssistedStore;
        let eras: StoreEras;
        let lostKinds: string[];
        let stop: AbortController;
        let signal: AbortSignal;

        function sourceAt(address: string): ViewSource {
            return { address, silent: silent.signal, isInSameZone: true };
        }

        beforeEach(async () => {
            stop = new AbortController();
            signal = stop.signal;
            platformStore = MemoryObjectStore.create(ManualClock.create());
            await platformStore.write({ kind: "things", name: "direct" }, 1, 0);
            silent = new AbortController();
            hubs = [sourceAt(`127.0.0.1:${port}`)];
            fallbackPeers = [];
            lostKinds = [];
            log = SilentDecisionLog.create();
            eras = StoreEras.create({ clock, log, metrics: noMetrics });
            store = PeerAssistedStore.create({
                clock,
                random: SeededRandom.create(1),
                log,
                eras,
                store: platformStore,
                source: () => hubs[0],
                peers: () => fallbackPeers,
                silenceLimitMs: SILENCE_LIMIT_MS,
                onSourceLost: kind => lostKinds.push(kind),
            });
        });

        afterEach(() => stop.abort());

        /** Writes further objects to the store, whose revision is 1 at first. */
        async function writeUntilRevision(revision: number): Promise<void> {
            for (let next = 2; next <= revision; next++) {
                await platformStore.write({ kind: "things", name: `direct-${next}` }, 1, 0);
            }
        }

        it("lists and watches through the hub", async () => {
            const listed = await store.list(["things"], "read");
            expect(listed).to.deep.equal({
                kind: "listed",
                objects: [{ kind: "things", name: "a", revision: 3, value: { x: 1 } }],
                revision: 5,
            });
            const watching = store.watch(["things"], 5, 2000, signal);
            cache.applyChange({ kind: "removed", object: { kind: "things", name: "a", revision: 6 } });
            cache.advance(6);
            const seen = await watching;
            expect(seen.kind === "changed" && seen.changes.map(change => [change.kind, change.object.name])).to.deep
                .equal([
                    ["removed", "a"],
                ]);
            expect(platformStore.calls).to.include({ list: 0, watch: 0 });
        });

        it("reports compaction when the hub's cache does not reach back far enough", async () => {
            expect(await store.watch(["things"], 1, 2000, signal)).to.deep.equal({ kind: "compacted" });
        });

        it("reads the store directly while the hub's own view is not current", async () => {
            isCurrent = false;
            const listed = await store.list(["things"], "read");
            expect(listed.kind === "listed" && listed.objects.map(item => item.name)).to.deep.equal(["direct"]);
        });

        it("aborts a watch at a hub that falls silent", async () => {
            const watching = store.watch(["things"], 5, 2000, signal);
            setTimeout(() => silent.abort(), 50);
            platformStore.faults.outage = true;
            expect((await watching).kind).to.equal("unavailable");
            expect(platformStore.calls.watch).to.equal(1);
        });

        // Guards against changes that take effect late because the source has silently lost the store.
        it("reads the store directly once the source's view has not been confirmed for too long", async () => {
            await store.list(["things"], "read");
            const startedAtMs = performance.now();
            viewAgeMs = () => performance.now() - startedAtMs;
            await writeUntilRevision(6);
            const seen = await store.watch(["things"], 5, 2000, signal);
            expect(performance.now() - startedAtMs).to.be.within(MAX_VIEW_AGE_MS, MAX_VIEW_AGE_MS + REACTION_MS);
            expect([seen.kind, platformStore.calls.watch, lostKinds]).to.deep.equal(["changed", 1, ["things"]]);
        });

        // Guards against changes that take effect late because one connection between two gateways has gone silent.
        it("reads the store directly once its connection to the source is silent, while others work", async () => {
            const relay = SilentRelay.create({ target: { host: "127.0.0.1", port }, clock });
            const address = (await relay.listen()).replace("http://", "");
            hubs = [sourceAt(address)];
            await store.list(["things"], "read");
            await writeUntilRevision(6);
            const watching = store.watch(["things"], 5, 2000, signal);
            await clock.sleep(50);
            relay.silenceOpenConnections();
            const silentAtMs = performance.now();
            expect((await watching).kind).to.equal("changed");
            expect(performance.now() - silentAtMs).to.be.below(SILENCE_LIMIT_MS + REACTION_MS);
            expect(platformStore.calls.watch).to.equal(1);
            await relay.close();
        });

        // Guards against a mixed fleet that trusts a source of an earlier build, which keeps old views for too long.
        it("reads the store directly while the source states no age of its view", async () => {
            const oldPort = await freePort();
            const oldServer = PeerServer.create({
                host: "127.0.0.1",
                port: oldPort,
                services: [router =>
                    router.service(ViewService, {
                        listObjects: () => ({ isAvailable: true, revision: 5 }),
                        watchObjects: async () => {
                            await clock.sleep(2000);
                            return { isAvailable: true, revision: 5 };
                        },
                    })],
                interceptors: [],
            });
            await oldServer.listen();
            hubs = [sourceAt(`127.0.0.1:${oldPort}`)];
            const listed = await store.list(["things"], "read");
            expect(listed.kind === "listed" && listed.objects.map(item => item.name)).to.deep.equal(["direct"]);
            const startedAtMs = performance.now();
            await store.watch(["things"], 5, 100, signal);
            expect(performance.now() - startedAtMs).to.be.below(REACTION_MS);
            expect(platformStore.calls).to.include({ list: 1, watch: 1 });
            await oldServer.close();
        });

        describe("without a hub", () => {
            beforeEach(() => {
                fallbackPeers = hubs;
                hubs = [];
            });

            it("reads the store directly while it is available", async () => {
                const listed = await store.list(["things"], "read");
                expect(listed.kind === "listed" && listed.objects.map(item => item.name)).to.deep.equal(["direct"]);
                expect(store.isAuthoritative("things")).to.equal(true);
            });

            it("lists and watches through a peer, as not authoritative, while the store is unavailable", async () => {
                platformStore.faults.outage = true;
                const listed = await store.list(["things"], "read");
                expect(listed.kind === "listed" && listed.objects.map(item => item.name)).to.deep.equal(["a"]);
                expect((await store.watch(["things"], 5, 2000, signal)).kind).to.equal("unavailable");
                const watching = store.watch(["things"], 5, 2000, signal);
                setTimeout(() => {
                    cache.applyChange({
                        kind: "written",
                        object: { kind: "things", name: "b", revision: 6, value: 1 },
                    });
                    cache.advance(6);
                }, 50);
                const seen = await watching;
                expect(seen.kind === "changed" && [seen.revision, seen.changes.length]).to.deep.equal([6, 1]);
                expect(store.isAuthoritative("things")).to.equal(false);
                expect(log.lines.map(({ event }) => event)).to.deep.equal([
                    "store unavailable; reading it through a peer",
                ]);
            });

            it("reads the store directly again once it is available", async () => {
                await store.list(["things"], "read");
                platformStore.faults.outage = true;
                await store.watch(["things"], 5, 100, signal);
                expect(store.isAuthoritative("things")).to.equal(true);
                await store.watch(["things"], 5, 100, signal);
                expect(store.isAuthoritative("things")).to.equal(false);
                platformStore.faults.outage = false;
                await untilTrue(clock, "reading the store directly again", 5000, async () => {
                    await store.watch(["things"], 5, 100, signal);
                    return store.isAuthoritative("things");
                });
            });

            it("uses a peer's last known state only if it has no view of its own", async () => {
                isCurrent = false;
                await store.list(["things"], "read");
                platformStore.faults.outage = true;
                expect((await store.list(["things"], "read")).kind).to.equal("unavailable");
                const fresh = PeerAssistedStore.create({
                    clock,
                    random: SeededRandom.create(1),
                    log,
                    eras: StoreEras.create({ clock, log, metrics: noMetrics }),
                    store: platformStore,
                    source: () => undefined,
                    peers: () => fallbackPeers,
                    silenceLimitMs: SILENCE_LIMIT_MS,
                    onSourceLost: () => undefined,
                });
                const listed = await fresh.list(["things"], "read");
                expect(listed.kind === "listed" && [listed.revision, listed.objects.length]).to.deep.equal([5, 1]);
                expect((await fresh.watch(["things"], 5, 100, signal)).kind).to.equal("unavailable");
                expect((await fresh.list(["things"], "read")).kind).to.equal("unavailable");
            });
        });

        it("returns the configurations that are active at the peers that respond", async () => {
            fallbackPeers = [...hubs, sourceAt(`127.0.0.1:${await freePort()}`)];
            expect(await store.activeConfigurations()).to.deep.equal([{ version: 7 }]);
        });

        it("reads an object from the store, otherwise from a recent view of a peer, which any build since 777759d has", async () => {
            fallbackPeers = [...hubs];
            const key = { kind: "things", name: "a" };
            expect((await store.readRecent(key, MAX_VIEW_AGE_MS)).kind).to.equal("absent");
            platformStore.faults.outage = true;
            const found = await store.readRecent(key, MAX_VIEW_AGE_MS);
            expect(found.kind === "found" && found.object.value).to.deep.equal({ x: 1 });
            expect((await store.readRecent({ kind: "things", name: "b" }, MAX_VIEW_AGE_MS)).kind).to.equal("absent");
            viewAgeMs = () => MAX_VIEW_AGE_MS / 2;
            expect((await store.readRecent(key, MAX_VIEW_AGE_MS / 4)).kind).to.equal("unavailable");
            isCurrent = false;
            expect((await store.readRecent(key, MAX_VIEW_AGE_MS)).kind).to.equal("unavailable");
        });

        describe("while the store was restored from an older copy", () => {
            const things = { kind: "things", name: "a", value: { x: 2 } };

            it("does not list a hub's view of an older era", async () => {
                eras.observe(0, 9);
                eras.observe(1, 4);
                platformStore.restore(platformStore.copy());
                const listed = await store.list(["things"], "read");
                expect(listed.kind === "listed" && listed.objects.map(item => item.name)).to.deep.equal(["direct"]);
            });

            it("does not watch a hub's view of an older era, nor the store from a revision of an older era", async () => {
                eras.observe(0, 9);
                eras.observe(1, 4);
                expect(await store.watch(["things"], 5, 2000, signal, 0)).to.deep.equal({ kind: "compacted", era: 1 });
                expect(platformStore.calls.watch).to.equal(0);
                platformStore.restore(platformStore.copy());
                const seen = await store.watch(["things"], 0, 10, signal, 1);
                expect([seen.kind, platformStore.calls.watch]).to.deep.equal(["changed", 1]);
            });

            it("learns of the era from a hub and lists again there", async () => {
                await store.list(["things"], "read");
                const watching = store.watch(["things"], 5, 2000, signal, 0);
                setTimeout(() => {
                    cache.applyListing([{ ...things, revision: 4 }], 1);
                    cache.advance(4);
                }, 50);
                expect(await watching).to.deep.equal({ kind: "compacted", era: 1 });
                expect(eras.current).to.equal(1);
                const listed = await store.list(["things"], "read");
                expect(listed).to.deep.equal({
                    kind: "listed",
                    objects: [{ ...things, revision: 4 }],
                    revision: 4,
                    era: 1,
                });
            });

            it("starts from the last known state of the newest era, whatever its revision", async () => {
                const newerPort = await freePort();
                const newer = WatchCache.create(clock, () => false);
                newer.applyListing([{ ...things, revision: 2 }], 1);
                newer.advance(2);
                const newerServer = PeerServer.create({
                    host: "127.0.0.1",
                    port: newerPort,
                    services: [
                        router => createViewService(newer).registerOn(router),
                    ],
                    interceptors: [],
                });
                await newerServer.listen();
                isCurrent = false;
                platformStore.faults.outage = true;
                fallbackPeers = [...hubs, sourceAt(`127.0.0.1:${newerPort}`)];
                hubs = [];
                const listed = await store.list(["things"], "read");
                expect(listed.kind === "listed" && [listed.revision, listed.era]).to.deep.equal([2, 1]);
                await newerServer.close();
            });
        });

        it("writes to the store directly", async () => {
            expect((await store.write({ kind: "things", name: "b" }, 1, 0, "claim")).kind).to.equal("committed");
        });
    });
});
