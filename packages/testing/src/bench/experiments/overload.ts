import { RunningSystem } from "../../system/RunningSystem.js";
import { Traffic } from "../../system/Traffic.js";
import type { Experiment } from "../Experiment.js";
import type { ExperimentContext } from "../ExperimentContext.js";
import type { ExperimentResult } from "../ExperimentResult.js";
import { countOverloadFalls } from "../util/countOverloadFalls.js";
import { summarizeCalls } from "../util/summarizeCalls.js";

const CAPACITY = 8;

/** Higher than any load in this experiment, so that it has no effect as a limit. */
const NO_LIMIT = 4096;

/** Rates of calls per second; three replicas can serve about 50. */
const OFFERED = [25, 100];

/** Timeout of each call. */
const TIMEOUT_MS = 3000;

const BASELINE = "no limits";

/** Measures service below and above the capacity, with and without limits of the upstreams. */
export const overload: Experiment = {
    description: "goodput, latency and refusals at half and at twice the capacity, with and without limits",
    run: async context => {
        const rows: ExperimentResult["rows"] = [];
        for (const [variant, limit] of [[BASELINE, NO_LIMIT], ["limits and queues", CAPACITY]] as const) {
            for (const callsPerSecond of OFFERED) {
                const phase = `${callsPerSecond} calls a second offered`;
                context.note(`${variant}, ${phase}`);
                rows.push({ variant, phase, values: await measure(context, limit, callsPerSecond) });
            }
        }
        const parameters = {
            capacityOfReplica: CAPACITY,
            replicas: 3,
            timeoutMs: TIMEOUT_MS,
            phaseMs: context.phaseMs,
        };
        return { baseline: BASELINE, parameters, rows, chartColumn: "goodputPerSecond" };
    },
};

async function measure(
    context: ExperimentContext,
    limit: number,
    callsPerSecond: number,
): Promise<Record<string, number>> {
    const { clock, seed, phaseMs } = context;
    const system = await RunningSystem.start({
        ...context,
        topology: { engineBehaviour: { coldCapacity: CAPACITY, warmCapacity: CAPACITY } },
        objects: { maxConcurrentRequests: limit, coldConcurrentRequests: limit },
    });
    try {
        await system.untilPhase("ready");
        const workload = { callsPerSecond, timeoutMs: TIMEOUT_MS, maxAttempts: 1 };
        const traffic = await Traffic.start({ system, clock, seed, workload });
        await clock.sleep(phaseMs / 2);
        const failuresBefore = await countOverloadFalls(system);
        const startMs = clock.monotonicMs();
        await clock.sleep(2 * phaseMs);
        const endMs = clock.monotonicMs();
        const records = await traffic.finish();
        return {
            ...summarizeCalls(records, startMs, endMs),
            overloadFalls: await countOverloadFalls(system) - failuresBefore,
        };
    }
    finally {
        await system.stop();
    }
}
