import { type ConfigurationView, EvidenceExchange, type Peer } from "@fescuehaven/coordination";
import type { StoredObject } from "@fescuehaven/platform";
import { ManualClock } from "../fakes/ManualClock.js";
import { MemoryEngines } from "../fakes/MemoryEngines.js";
import { MemoryEventRecorder } from "../fakes/MemoryEventRecorder.js";
import { MemoryNetwork } from "../fakes/MemoryNetwork.js";
import { SeededRandom } from "../fakes/SeededRandom.js";
import { SilentLogger } from "../fakes/SilentLogger.js";
import { createZoneFixture } from "./createZoneFixture.js";
import type { ProbingCost } from "./ProbingCost.js";

const GROUP_SIZE = 4;
/** One-way network delay between two processes of a zone. */
const LINK_DELAY_MS = 0.25;
const WARM_UP_MS = 3000;
const MEASURED_MS = 4000;
const DETECTION_STEP_MS = 5;
const DETECTION_LIMIT_MS = 3000;

type Zone = ReturnType<typeof createZoneFixture>;

interface Counts {
    probes: number;
    updates: number;
    updateBytes: number;
}

/** Runs a zone's routers in simulated time, either sharing the probing or each probing all VMs. */
export async function measureProbing(
    policy: ProbingCost["policy"],
    routers: number,
    vms: number,
): Promise<ProbingCost> {
    const clock = ManualClock.create();
    const zone = createZoneFixture(vms, GROUP_SIZE);
    const counts: Counts = { probes: 0, updates: 0, updateBytes: 0 };
    const engines = createEngines(zone, counts);
    const network = createNetwork(clock, counts);
    const stop = new AbortController();
    const names = Array.from({ length: routers }, (_, index) => `router-${index}`);
    const peers = policy === "shared" ? names.map(name => peerOf(name, zone.zone)) : [];
    const exchanges = names.map((name, index) =>
        startRouter(name, index, { clock, zone, engines, network, peers, stop })
    );
    await clock.advance(WARM_UP_MS);
    Object.assign(counts, { probes: 0, updates: 0, updateBytes: 0 });
    await clock.advance(MEASURED_MS);
    const perSecond = 1000 / MEASURED_MS;
    const cost = {
        policy,
        routers,
        vms,
        probesPerRouterPerSecond: counts.probes * perSecond / routers,
        updatesPerRouterPerSecond: counts.updates * perSecond / routers,
        updateBytesPerRouterPerSecond: counts.updateBytes * perSecond / routers,
        probesPerEnginePerSecond: counts.probes * perSecond / vms,
        ...await measureDetection(clock, zone, engines, exchanges),
    };
    stop.abort();
    await clock.advance(0);
    return cost;
}

async function measureDetection(
    clock: ManualClock,
    zone: Zone,
    engines: MemoryEngines,
    exchanges: readonly EvidenceExchange[],
): Promise<Pick<ProbingCost, "detectionMeanMs" | "detectionMaxMs">> {
    const [failedMember] = zone.reports;
    const failedAtMs = clock.monotonicMs();
    const detectedAfterMs = new Map<EvidenceExchange, number>();
    if (failedMember) {
        engines.reports.delete(`http://${failedMember.vm}:80`);
    }
    while (detectedAfterMs.size < exchanges.length && clock.monotonicMs() - failedAtMs < DETECTION_LIMIT_MS) {
        await clock.advance(DETECTION_STEP_MS);
        exchanges
            .filter(exchange => !detectedAfterMs.has(exchange) && !exchange.ready(failedMember?.group ?? ""))
            .forEach(exchange => detectedAfterMs.set(exchange, clock.monotonicMs() - failedAtMs));
    }
    const timesMs = [...detectedAfterMs.values()];
    return {
        detectionMeanMs: timesMs.reduce((sum, timeMs) => sum + timeMs, 0) / timesMs.length,
        detectionMaxMs: Math.max(...timesMs),
    };
}

function startRouter(
    name: string,
    seed: number,
    setup: {
        clock: ManualClock;
        zone: Zone;
        engines: MemoryEngines;
        network: MemoryNetwork;
        peers: readonly Peer[];
        stop: AbortController;
    },
): EvidenceExchange {
    const { clock, engines, network, peers, stop, zone } = setup;
    const vms = new Map(zone.vms.map(vm => [vm.name, vm]));
    const exchange = EvidenceExchange.create({
        process: name,
        zone: zone.zone,
        probes: true,
        configuration: ledgerConfiguration(zone),
        vms: { version: 1, list: () => zone.vms, get: vm => vms.get(vm) },
        peers: { list: () => peers.filter(peer => peer.name !== name) },
        clients: network.clientsOf(name),
        control: engines,
        clock,
        random: SeededRandom.create(seed, name),
        logger: SilentLogger.create(),
        events: MemoryEventRecorder.create(),
    });
    network.listen(name, router => exchange.registerOn(router));
    void exchange.run(stop.signal);
    return exchange;
}

function ledgerConfiguration(zone: Zone): ConfigurationView {
    const ledger = { kind: "zone-ledger", name: zone.zone, revision: 1, value: zone.ledger };
    return {
        version: 1,
        complete: true,
        get: kind => kind === "zone-ledger" ? ledger as unknown as StoredObject<never> : undefined,
        list: () => [],
        changed: () => Promise.resolve(),
    };
}

function createEngines(zone: Zone, counts: Counts): MemoryEngines {
    const engines = MemoryEngines.create();
    zone.reports.forEach(report => engines.reports.set(`http://${report.vm}:80`, report));
    engines.onReport = () => counts.probes += 1;
    return engines;
}

function createNetwork(clock: ManualClock, counts: Counts): MemoryNetwork {
    const network = MemoryNetwork.create(clock);
    network.delayMs = LINK_DELAY_MS;
    network.onMessage = (_from, _to, method, sizeBytes) => {
        counts.updates += method === "WatchEvidence" ? 1 : 0;
        counts.updateBytes += sizeBytes;
    };
    return network;
}

function peerOf(name: string, zone: string): Peer {
    return { name, zone, role: "router", url: `http://${name}` };
}
