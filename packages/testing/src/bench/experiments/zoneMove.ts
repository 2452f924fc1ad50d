import { RunningSystem } from "../../system/RunningSystem.js";
import { Traffic } from "../../system/Traffic.js";
import { untilTrue } from "../../util/untilTrue.js";
import type { Experiment } from "../Experiment.js";
import type { ExperimentContext } from "../ExperimentContext.js";
import type { ExperimentResult } from "../ExperimentResult.js";
import { countOverloadFalls } from "../util/countOverloadFalls.js";
import { summarizeCalls } from "../util/summarizeCalls.js";

const ZONE = "zone-a";
const GROUP = "dive-report-a-1";
const CALLS_PER_SECOND = 90;
const WARM_LIMIT = 32;
const COLD_LIMIT = 4;

/** Time limit for the zone to go out of service or to return. */
const MOVE_DEADLINE_MS = 40_000;

interface Variant {
    name: string;
    /** Whether operators create a maintenance intent before they stop the zone, and remove it afterwards. */
    hasIntent: boolean;
    /** Concurrent requests that routers send to a replica right after a cold start. */
    coldConcurrentRequests: number;
}

const BASELINE = "stopped without an intent";

const VARIANTS: readonly Variant[] = [
    { name: BASELINE, hasIntent: false, coldConcurrentRequests: COLD_LIMIT },
    { name: "intent, no ramp", hasIntent: true, coldConcurrentRequests: WARM_LIMIT },
    { name: "intent and ramp", hasIntent: true, coldConcurrentRequests: COLD_LIMIT },
];

/** Measures service while an availability zone is taken out of service and returns. */
export const zoneMove: Experiment = {
    description: "service while an availability zone is drained, stopped, started and returned to service",
    run: async context => {
        const rows: ExperimentResult["rows"] = [];
        for (const variant of VARIANTS) {
            rows.push(...await runVariant(context, variant));
        }
        return {
            baseline: BASELINE,
            parameters: {
                callsPerSecond: CALLS_PER_SECOND,
                warmLimit: WARM_LIMIT,
                coldLimit: COLD_LIMIT,
                phaseMs: context.phaseMs,
            },
            rows,
            chartColumn: "wholeP99Ms",
        };
    },
};

async function runVariant(context: ExperimentContext, variant: Variant): Promise<ExperimentResult["rows"]> {
    context.note(variant.name);
    const { clock, seed } = context;
    const system = await RunningSystem.start({
        ...context,
        topology: { engineBehaviour: { coldCapacity: COLD_LIMIT, warmCapacity: WARM_LIMIT } },
        objects: { maxConcurrentRequests: WARM_LIMIT, coldConcurrentRequests: variant.coldConcurrentRequests },
    });
    try {
        await system.untilPhase("ready");
        const workload = { callsPerSecond: CALLS_PER_SECOND };
        await warmUp(context, system);
        const failuresBefore = await countOverloadFalls(system);
        const traffic = await Traffic.start({ system, clock, seed, workload });
        const marks = [{ phase: "steady", atMs: clock.monotonicMs() }];
        const mark = (phase: string) => marks.push({ phase, atMs: clock.monotonicMs() });
        await clock.sleep(context.phaseMs);
        mark("leaving");
        await stopZone(system, variant);
        await clock.sleep(context.phaseMs);
        mark("returning");
        await restartZone(context, system, variant);
        await clock.sleep(2 * context.phaseMs);
        mark("end");
        const records = await traffic.finish();
        const failures = await countOverloadFalls(system) - failuresBefore;
        return marks.slice(0, -1).map(({ phase, atMs }, index) => ({
            variant: variant.name,
            phase,
            values: {
                ...summarizeCalls(records, atMs, marks[index + 1]?.atMs ?? atMs),
                ...(phase === "returning" ? { overloadFalls: failures } : {}),
            },
        }));
    }
    finally {
        await system.stop();
    }
}

/** Sends calls that are not measured, to warm up all replicas. */
async function warmUp(context: ExperimentContext, system: RunningSystem): Promise<void> {
    const { clock, seed, phaseMs } = context;
    const workload = { callsPerSecond: CALLS_PER_SECOND / 3 };
    const traffic = await Traffic.start({ system, clock, seed: seed + 1, workload });
    await clock.sleep(2 * phaseMs);
    await traffic.finish();
}

async function stopZone(system: RunningSystem, variant: Variant): Promise<void> {
    const names = processesOf(system);
    if (!variant.hasIntent) {
        await Promise.all(names.map(name => system.process(name).kill()));
        return;
    }
    await system.platform.put(system.objects.zoneDrainIntent(ZONE));
    await system.untilPhase("out-of-service", [GROUP], MOVE_DEADLINE_MS);
    await Promise.all(names.map(name => system.process(name).stop()));
}

async function restartZone(context: ExperimentContext, system: RunningSystem, variant: Variant): Promise<void> {
    const handles = processesOf(system).map(name => system.process(name));
    await Promise.all(handles.map(handle => handle.start()));
    await Promise.all(handles.map(handle => handle.untilReady(MOVE_DEADLINE_MS)));
    if (variant.hasIntent) {
        await system.platform.remove("maintenance-intent", `${ZONE}-out`);
    }
    const engines = system.topology.engineVms.filter(vm => vm.zone === ZONE).map(vm => system.engine(vm.name));
    await untilTrue(context.clock, `${ZONE} serving again`, MOVE_DEADLINE_MS, async () => {
        const counters = await Promise.all(engines.map(engine => engine.counters()));
        return counters.some(counter => counter.started > 0);
    });
}

function processesOf(system: RunningSystem): string[] {
    const daemons = system.entryVmsOf(ZONE).flatMap(vm => [vm.router.name, vm.controller.name]);
    return [...daemons, "engines-a"];
}
