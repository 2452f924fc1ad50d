import { ConfigurationSync, type Peer } from "@fescuehaven/coordination";
import type { ObjectStore } from "@fescuehaven/platform";
import { ManualClock } from "../fakes/ManualClock.js";
import { MemoryEventRecorder } from "../fakes/MemoryEventRecorder.js";
import { MemoryNetwork } from "../fakes/MemoryNetwork.js";
import { MemoryObjectStore } from "../fakes/MemoryObjectStore.js";
import { SeededRandom } from "../fakes/SeededRandom.js";
import { SilentLogger } from "../fakes/SilentLogger.js";
import type { DigestCost } from "./DigestCost.js";

const ZONES = 6;
/** One-way network delay between two processes. */
const LINK_DELAY_MS = 1.5;
const WARM_UP_MS = 8000;
const MEASURED_MS = 10_000;
const SPREAD_STEP_MS = 10;
const SPREAD_LIMIT_MS = 10_000;
const KEY = { kind: "maintenance-intent", name: "intent-0" };

const INTENT = { target: { kind: "vm", name: "engine-1" }, reason: "r".repeat(100), requestedBy: "operator" };

/**
 * Runs processes in simulated time, first without changes and then with one change that only the first process can read
 * from the platform.
 */
export async function measureDigests(processes: number, objects: number): Promise<DigestCost> {
    const clock = ManualClock.create();
    const store = MemoryObjectStore.create(clock);
    for (let index = 0; index < objects; index++) {
        await store.write({ kind: KEY.kind, name: `intent-${index}` }, INTENT, 0);
    }
    const counts = { calls: 0, bytes: 0 };
    const network = MemoryNetwork.create(clock);
    network.delayMs = LINK_DELAY_MS;
    network.onCall = () => counts.calls += 1;
    network.onMessage = (_from, _to, _method, sizeBytes) => {
        counts.bytes += sizeBytes;
    };
    const stop = new AbortController();
    const platform = { isUnavailable: false };
    const peers = Array.from({ length: processes }, (_, index) => peerOf(index));
    const syncs = peers.map((peer, index) => {
        const processPlatform = index === 0 ? { isUnavailable: false } : platform;
        return startProcess(peer, index, { clock, network, peers, stop, store: withOutage(store, processPlatform) });
    });
    await clock.advance(WARM_UP_MS);
    platform.isUnavailable = true;
    Object.assign(counts, { calls: 0, bytes: 0 });
    await clock.advance(MEASURED_MS);
    const quiet = { ...counts };
    Object.assign(counts, { calls: 0, bytes: 0 });
    const spreadMs = await measureReplication(clock, store, syncs);
    const quietBytes = quiet.bytes * spreadMs / MEASURED_MS;
    stop.abort();
    await clock.advance(0);
    return {
        processes,
        objects,
        callsPerProcessPerSecond: quiet.calls * 1000 / MEASURED_MS / processes,
        bytesPerProcessPerSecond: quiet.bytes * 1000 / MEASURED_MS / processes,
        bytesPerProcessPerChange: (counts.bytes - quietBytes) / processes,
        spreadMs,
    };
}

async function measureReplication(
    clock: ManualClock,
    store: MemoryObjectStore,
    syncs: readonly ConfigurationSync[],
): Promise<number> {
    const revision = store.peek(KEY.kind, KEY.name)?.revision ?? 0;
    const startedAtMs = clock.monotonicMs();
    await store.write(KEY, { ...INTENT, reason: "changed" }, revision);
    const isEverywhere = () =>
        syncs.every(sync => (sync.get("maintenance-intent", KEY.name)?.revision ?? 0) > revision);
    while (!isEverywhere() && clock.monotonicMs() - startedAtMs < SPREAD_LIMIT_MS) {
        await clock.advance(SPREAD_STEP_MS);
    }
    return clock.monotonicMs() - startedAtMs;
}

function startProcess(
    peer: Peer,
    seed: number,
    setup: {
        clock: ManualClock;
        network: MemoryNetwork;
        peers: readonly Peer[];
        stop: AbortController;
        store: ObjectStore;
    },
): ConfigurationSync {
    const others = setup.peers.filter(other => other.name !== peer.name);
    const sync = ConfigurationSync.create({
        process: peer.name,
        zone: peer.zone,
        store: setup.store,
        peers: { list: () => others },
        clients: setup.network.clientsOf(peer.name),
        clock: setup.clock,
        random: SeededRandom.create(seed, peer.name),
        logger: SilentLogger.create(),
        events: MemoryEventRecorder.create(),
    });
    setup.network.listen(peer.name, router => sync.registerOn(router));
    void sync.run(setup.stop.signal);
    return sync;
}

/** Wraps the store so that listing and watching fail while the platform is unavailable. */
function withOutage(store: MemoryObjectStore, platform: { isUnavailable: boolean; }): ObjectStore {
    const unavailable = { kind: "unavailable", retryAfterMs: 0 } as const;
    return {
        read: key => store.read(key),
        write: (key, value, expected) => store.write(key, value, expected),
        remove: (key, expected) => store.remove(key, expected),
        list: async kinds => platform.isUnavailable ? unavailable : store.list(kinds),
        watch: async (...args) => {
            const outcome = platform.isUnavailable ? unavailable : await store.watch(...args);
            return platform.isUnavailable ? unavailable : outcome;
        },
    };
}

function peerOf(index: number): Peer {
    return { name: `daemon-${index}`, zone: `zone-${index % ZONES}`, role: "router", url: `http://daemon-${index}` };
}
