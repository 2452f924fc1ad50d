import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { IntrospectionService } from "@fescuehaven/protocol";
import { RunningSystem } from "../../system/RunningSystem.js";
import { untilTrue } from "../../util/untilTrue.js";
import type { Experiment } from "../Experiment.js";
import type { ExperimentContext } from "../ExperimentContext.js";
import type { ExperimentResult } from "../ExperimentResult.js";
import { LatencyRecorder } from "../util/LatencyRecorder.js";

/** Number of changes in each variant. */
const CHANGES = 20;

/** Time limit for a change to become active in every process. */
const DEADLINE_MS = 30_000;

interface Variant {
    name: string;
    /** Zones whose processes cannot reach the platform and receive changes from their peers. */
    partitionedZones: readonly string[];
}

const BASELINE = "every process watches";

const VARIANTS: readonly Variant[] = [
    { name: BASELINE, partitionedZones: [] },
    { name: "one zone of three cut off", partitionedZones: ["zone-c"] },
    { name: "two zones of three cut off", partitionedZones: ["zone-b", "zone-c"] },
];

/** Measures the time from an accepted change of configuration until it is active in every process. */
export const configSpread: Experiment = {
    description: "time from an accepted change until it is active in every process, by watch and by peers",
    run: async context => {
        const system = await RunningSystem.start(context);
        try {
            await system.untilPhase("ready");
            const rows: ExperimentResult["rows"] = [];
            for (const variant of VARIANTS) {
                context.note(variant.name);
                await system.platform.setFaults({ blockedAddresses: addressesOf(system, variant.partitionedZones) });
                const values = await measure(context, system);
                rows.push({ variant: variant.name, phase: "", values });
            }
            const parameters = { changes: CHANGES, processes: 2 * system.topology.entryVms.length };
            return { baseline: BASELINE, parameters, rows, chartColumn: "everywhereP50Ms" };
        }
        finally {
            await system.stop();
        }
    },
};

async function measure(context: ExperimentContext, system: RunningSystem): Promise<Record<string, number>> {
    const { clock } = context;
    const readers = system.topology.entryVms
        .flatMap(vm => [vm.router.peerUrl, vm.controller.peerUrl])
        .map(baseUrl => createClient(IntrospectionService, createConnectTransport({ baseUrl, httpVersion: "2" })));
    const everywhere = LatencyRecorder.create();
    const each = LatencyRecorder.create();
    for (let change = 0; change < CHANGES; change++) {
        const startMs = clock.monotonicMs();
        const revision = await system.platform.put(changedRoute(change));
        const delaysMs = await Promise.all(readers.map(async reader => {
            await untilTrue(clock, `revision ${revision} active`, DEADLINE_MS, async () => {
                const state = await reader.readState({}, { timeoutMs: DEADLINE_MS });
                return Number(state.configurationRevision) >= revision;
            });
            return clock.monotonicMs() - startMs;
        }));
        delaysMs.forEach(delayMs => each.record(delayMs));
        everywhere.record(Math.max(...delaysMs));
    }
    return {
        eachP50Ms: each.percentileMs(50),
        eachP99Ms: each.percentileMs(99),
        everywhereP50Ms: everywhere.percentileMs(50),
        everywhereMaxMs: everywhere.percentileMs(100),
    };
}

/** Returns a route whose timeout differs with every change. */
function changedRoute(change: number): Parameters<RunningSystem["platform"]["put"]>[0] {
    const target = { kind: "service", service: "booking", path: "/spread", repeatable: true };
    return { kind: "route", name: "spread", value: { target, timeoutMs: 10_000 + change } };
}

function addressesOf(system: RunningSystem, zones: readonly string[]): string[] {
    return zones.flatMap(zone => system.addressesOf(zone));
}
