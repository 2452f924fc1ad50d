import { PeerServer } from "@fescuehaven/daemon";
import { SystemClock, SystemRandom } from "@fescuehaven/runtime";
import { ManualClock, MemoryObjectStore, SeededRandom, untilTrue } from "@fescuehaven/testing";
import { expect } from "chai";
import { type AddressInfo, createServer } from "node:net";
import { PeerAssistedStore } from "../../src/peers/PeerAssistedStore.js";
import { PeerConnections } from "../../src/peers/PeerConnections.js";
import type { PeerState } from "../../src/peers/PeerState.js";
import { PeerStatePublisher } from "../../src/peers/PeerStatePublisher.js";
import { ViewServiceHandler } from "../../src/peers/ViewServiceHandler.js";
import { WatchCache } from "../../src/WatchCache.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";

async function freePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}

const state: PeerState = {
    term: 3,
    controllerDistance: 0,
    loads: [["65537", { inFlight: 4, pendingPrefillTokens: 1200, silentMs: 15 }]],
    retries: [["llm", { requests: 40, retries: 2 }]],
    lostEpochs: [65536],
    openGroups: [{ head: "u1", name: "g", epoch: 65537, model: "large" }],
};

describe("what gateways tell each other", () => {
    const clock = SystemClock.create();
    let server: PeerServer;
    let port: number;
    let cache: WatchCache;
    let isInTouch: boolean;
    let asked: string[];

    beforeEach(async () => {
        port = await freePort();
        isInTouch = true;
        asked = [];
        cache = WatchCache.create(clock, () => isInTouch);
        cache.applyListing([{ kind: "things", name: "a", revision: 3, value: { x: 1 } }]);
        cache.advance(5);
        const publisher = PeerStatePublisher.create({
            clock,
            snapshot: observer => {
                asked.push(observer);
                return state;
            },
            pauseMs: () => 100,
        });
        server = PeerServer.create({
            host: "127.0.0.1",
            port,
            services: [
                router => publisher.registerOn(router),
                router => ViewServiceHandler.create(new Map([["things", cache]])).registerOn(router),
            ],
            interceptors: [],
        });
        await server.listen();
    });

    afterEach(() => server.close());

    it("arrives as it was sent, and a lost peer is told", async () => {
        let onLost: (peer: string) => void = () => undefined;
        const gone = new Promise<string>(resolve => {
            onLost = resolve;
        });
        const connections = await new Promise<PeerConnections>(resolve => {
            const created = PeerConnections.create({
                clock,
                random: SystemRandom.create(),
                log: SilentDecisionLog.create(),
                vm: "me",
                zone: "a",
                onState: (peer, received) => {
                    expect([peer, received]).to.deep.equal(["other", state]);
                    resolve(created);
                },
                onLost: peer => onLost(peer),
            });
            created.add("me", "127.0.0.1:1", "a");
            created.add("other", `127.0.0.1:${port}`, "b");
        });
        expect(asked[0]).to.equal("me");
        expect(connections.connectedPeers()).to.deep.equal(["other"]);
        expect(connections.isZoneReachable("b")).to.equal(true);
        expect(connections.gatewayCount).to.equal(2);
        await server.close();
        expect(await gone).to.equal("other");
        connections.close();
    });

    describe("of the store", () => {
        let direct: MemoryObjectStore;
        let silent: AbortController;
        let hubs: Array<{ address: string; silent: AbortSignal; }>;
        let others: Array<{ address: string; silent: AbortSignal; }>;
        let log: SilentDecisionLog;
        let store: PeerAssistedStore;
        let stop: AbortController;
        let signal: AbortSignal;

        beforeEach(async () => {
            stop = new AbortController();
            signal = stop.signal;
            direct = MemoryObjectStore.create(ManualClock.create());
            await direct.write({ kind: "things", name: "direct" }, 1, 0);
            silent = new AbortController();
            const hub = () => ({ address: `127.0.0.1:${port}`, silent: silent.signal });
            hubs = [hub()];
            others = [];
            log = SilentDecisionLog.create();
            store = PeerAssistedStore.create({
                clock,
                random: SeededRandom.create(1),
                log,
                store: direct,
                hub: () => hubs[0],
                peers: () => others,
            });
        });

        afterEach(() => stop.abort());

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
            expect(direct.calls).to.include({ list: 0, watch: 0 });
        });

        it("says so when the hub does not remember so far back", async () => {
            expect(await store.watch(["things"], 1, 2000, signal)).to.deep.equal({ kind: "compacted" });
        });

        it("reads directly while the hub's own view is not kept up to date", async () => {
            isInTouch = false;
            const listed = await store.list(["things"], "read");
            expect(listed.kind === "listed" && listed.objects.map(item => item.name)).to.deep.equal(["direct"]);
        });

        it("leaves a hub that falls silent in the middle of a watch", async () => {
            const watching = store.watch(["things"], 5, 2000, signal);
            setTimeout(() => silent.abort(), 50);
            direct.faults.outage = true;
            expect((await watching).kind).to.equal("unavailable");
            expect(direct.calls.watch).to.equal(1);
        });

        describe("without a hub", () => {
            beforeEach(() => {
                others = hubs;
                hubs = [];
            });

            it("reads directly while the store answers", async () => {
                const listed = await store.list(["things"], "read");
                expect(listed.kind === "listed" && listed.objects.map(item => item.name)).to.deep.equal(["direct"]);
                expect(store.isFirstHand("things")).to.equal(true);
            });

            it("lists and watches through a peer while the store does not answer, and nobody may follow that", async () => {
                direct.faults.outage = true;
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
                expect(store.isFirstHand("things")).to.equal(false);
                expect(log.lines.map(({ event }) => event)).to.deep.equal([
                    "the store does not answer; reading it through a peer",
                ]);
            });

            it("reads directly again once the store answers", async () => {
                await store.list(["things"], "read");
                direct.faults.outage = true;
                await store.watch(["things"], 5, 100, signal);
                expect(store.isFirstHand("things")).to.equal(true);
                await store.watch(["things"], 5, 100, signal);
                expect(store.isFirstHand("things")).to.equal(false);
                direct.faults.outage = false;
                await untilTrue(clock, "back at the store", 5000, async () => {
                    await store.watch(["things"], 5, 100, signal);
                    return store.isFirstHand("things");
                });
            });

            it("takes a peer's last view only if it has none of its own", async () => {
                isInTouch = false;
                await store.list(["things"], "read");
                direct.faults.outage = true;
                expect((await store.list(["things"], "read")).kind).to.equal("unavailable");
                const fresh = PeerAssistedStore.create({
                    clock,
                    random: SeededRandom.create(1),
                    log,
                    store: direct,
                    hub: () => undefined,
                    peers: () => others,
                });
                const listed = await fresh.list(["things"], "read");
                expect(listed.kind === "listed" && [listed.revision, listed.objects.length]).to.deep.equal([5, 1]);
                expect((await fresh.watch(["things"], 5, 100, signal)).kind).to.equal("unavailable");
                expect((await fresh.list(["things"], "read")).kind).to.equal("unavailable");
            });
        });

        it("writes directly", async () => {
            expect((await store.write({ kind: "things", name: "b" }, 1, 0, "claim")).kind).to.equal("committed");
        });
    });
});
