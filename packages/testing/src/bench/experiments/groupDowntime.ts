import { RunningSystem } from "../../system/RunningSystem.js";
import { untilTrue } from "../../util/untilTrue.js";
import type { Experiment } from "../Experiment.js";
import type { ExperimentContext } from "../ExperimentContext.js";
import type { ExperimentResult } from "../ExperimentResult.js";
import { LatencyRecorder } from "../util/LatencyRecorder.js";

const ZONE = "zone-a";
const MEMBERS = 4;
const GROUPS = 2;
const WEIGHTS_GIB = 20;
const WEIGHT_STORE_GIB_PER_SECOND = 20;

/** Number of members that fail one after the other in each variant. */
const FAILURES = 3;

/** Time limit for a group to become ready. */
const DEADLINE_MS = 90_000;

/** Way in which a member fails: it stops responding, or its engine restarts. */
type Failure = "member gone" | "member restarted";

interface Variant {
    name: string;
    /** Number of VMs in addition to those that the groups need. */
    spares: number;
    /** Whether engines keep their weights when only the fencing token changes. */
    keepsWeights: boolean;
}

const BASELINE = "every member loads anew";

const VARIANTS: readonly Variant[] = [
    { name: BASELINE, spares: 4, keepsWeights: false },
    { name: "only the new member loads", spares: 4, keepsWeights: true },
];

/** Measures how long a group is closed after a member has failed. */
export const groupDowntime: Experiment = {
    description:
        "time from the failure of a member until its group is ready again, and the weight loads that it causes",
    run: async context => {
        const rows: ExperimentResult["rows"] = [];
        for (const variant of VARIANTS) {
            for (const failure of ["member gone", "member restarted"] as const) {
                context.note(`${variant.name}, ${failure}`);
                rows.push({
                    variant: variant.name,
                    phase: failure,
                    values: await runVariant(context, variant, failure),
                });
            }
        }
        const parameters = {
            members: MEMBERS,
            groups: GROUPS,
            weightsPerMemberGiB: WEIGHTS_GIB,
            weightStoreGiBPerSecond: WEIGHT_STORE_GIB_PER_SECOND,
            failures: FAILURES,
        };
        return { baseline: BASELINE, parameters, rows, chartColumn: "downtimeP50Ms" };
    },
};

async function runVariant(
    context: ExperimentContext,
    variant: Variant,
    failure: Failure,
): Promise<Record<string, number>> {
    const vms = GROUPS * MEMBERS + variant.spares;
    const system = await RunningSystem.start({
        ...context,
        topology: {
            zones: [ZONE],
            engineVmsPerZone: vms,
            vmsPerFabricDomain: vms / 2,
            weightStoreGiBPerSecond: WEIGHT_STORE_GIB_PER_SECOND,
            engineBehaviour: { keepsWeights: variant.keepsWeights },
        },
        objects: { groupsPerZone: GROUPS, memberCount: MEMBERS, weightsPerMemberGiB: WEIGHTS_GIB },
    });
    try {
        await system.untilPhase("ready", undefined, DEADLINE_MS);
        const downtimesMs = [];
        let loads = 0;
        for (let index = 0; index < FAILURES; index++) {
            const before = await countLoads(system);
            downtimesMs.push(await failMember(context, system, failure, index));
            const after = await countLoads(system);
            loads += after - before;
        }
        const recorder = LatencyRecorder.of(downtimesMs);
        return {
            downtimeP50Ms: recorder.percentileMs(50),
            downtimeMaxMs: recorder.percentileMs(100),
            loadsPerFailure: loads / FAILURES,
        };
    }
    finally {
        await system.stop();
    }
}

/** Makes a member of the first group fail; returns the time in ms until the group is ready again. */
async function failMember(
    context: ExperimentContext,
    system: RunningSystem,
    failure: Failure,
    index: number,
): Promise<number> {
    const { clock } = context;
    const group = system.objects.groupNames()[0] ?? "";
    const before = await system.status(group);
    const victim = before?.members[1 + (index % (MEMBERS - 1))] ?? "";
    const startMs = clock.monotonicMs();
    const engine = system.engine(victim);
    await engine.setFaults(failure === "member gone" ? { silent: true } : { restart: true });
    await untilTrue(clock, `${group} ready again`, DEADLINE_MS, async () => {
        const status = await system.status(group);
        return status?.phase === "ready" && status.since !== before?.since;
    });
    const downtimeMs = clock.monotonicMs() - startMs;
    if (failure === "member gone") {
        await engine.setFaults({ silent: false, restart: true });
    }
    return downtimeMs;
}

async function countLoads(system: RunningSystem): Promise<number> {
    const counts = await Promise.all(system.engines().map(async ({ admin }) => (await admin.counters()).loads));
    return counts.reduce((sum, count) => sum + count, 0);
}
