import { Agent, request } from "undici";
import { auditExecutions } from "../../callers/auditExecutions.js";
import { RunningSystem } from "../../system/RunningSystem.js";
import { Traffic } from "../../system/Traffic.js";
import type { Experiment } from "../Experiment.js";
import type { ExperimentContext } from "../ExperimentContext.js";
import type { ExperimentResult } from "../ExperimentResult.js";
import { LatencyRecorder } from "../util/LatencyRecorder.js";
import { summarizeCalls } from "../util/summarizeCalls.js";

/** Rate limits of the users' platform. */
const PLATFORM = { writesPerSecond: 300, readsPerSecond: 2000 };

/** Rates of calls per second. */
const OFFERED = [50, 200, 500];

const BASELINE = "an object for each key";

/** Compares the rate of keyed calls and platform writes with the journal to those with one object per key. */
export const keyedCalls: Experiment = {
    description: "keyed calls: rate, latency and platform writes with the journal, against one object per key",
    run: async context => {
        const rows: ExperimentResult["rows"] = [];
        for (const callsPerSecond of OFFERED) {
            const system = await RunningSystem.start({
                ...context,
                topology: { platform: PLATFORM },
                objects: { serviceConcurrentRequests: 512 },
            });
            try {
                await system.untilPhase("ready");
                const phase = `${callsPerSecond} calls a second offered`;
                context.note(phase);
                rows.push({
                    variant: BASELINE,
                    phase,
                    values: await measureObjectPerKey(context, system, callsPerSecond),
                });
                rows.push(await measureSystem(context, system, callsPerSecond, "journal", 1, phase));
                rows.push(await measureSystem(context, system, callsPerSecond, "not keyed", 0, phase));
            }
            finally {
                await system.stop();
            }
        }
        const parameters = { ...PLATFORM, phaseMs: context.phaseMs };
        return { baseline: BASELINE, parameters, rows, chartColumn: "goodputPerSecond" };
    },
};

async function measureSystem(
    context: ExperimentContext,
    system: RunningSystem,
    callsPerSecond: number,
    variant: string,
    keyedPart: number,
    phase: string,
): Promise<ExperimentResult["rows"][number]> {
    const { clock, seed, phaseMs } = context;
    const workload = { callsPerSecond, keyedPart, servicePart: 1 - keyedPart, maxAttempts: 1, timeoutMs: 5000 };
    const before = await readPlatformWrites(system);
    const traffic = await Traffic.start({ system, clock, seed: seed + keyedPart, workload });
    const startMs = clock.monotonicMs();
    await clock.sleep(phaseMs);
    const records = await traffic.finish();
    const { ranTwice, falseRefusals } = auditExecutions(records, await system.executions());
    const writes = await readPlatformWrites(system) - before;
    return {
        variant,
        phase,
        values: {
            ...summarizeCalls(records, startMs, startMs + phaseMs),
            platformWritesPerSecond: writes / (phaseMs / 1000),
            ranTwice: ranTwice.length,
            falseRefusals: falseRefusals.length,
        },
    };
}

/** Measures the platform alone, without routers, when each key needs one write for its claim and one for its finish. */
async function measureObjectPerKey(
    context: ExperimentContext,
    system: RunningSystem,
    callsPerSecond: number,
): Promise<Record<string, number>> {
    const { clock, phaseMs } = context;
    const agent = new Agent({ pipelining: 1 });
    const latencies: number[] = [];
    const write = async (name: string, revision: number) => {
        const response = await request(`${system.topology.platformUrl}/v1/objects/key/${name}`, {
            dispatcher: agent,
            method: "PUT",
            headers: { "if-match": String(revision), "content-type": "application/json" },
            body: JSON.stringify({ value: { revision } }),
        });
        const body = (await response.body.json()) as { revision?: number; };
        return response.statusCode === 200 ? body.revision ?? 0 : 0;
    };
    const before = await readPlatformWrites(system);
    const startMs = clock.monotonicMs();
    const total = Math.floor(callsPerSecond * phaseMs / 1000);
    const calls = Array.from({ length: total }, async (_, index) => {
        const dueMs = startMs + index * 1000 / callsPerSecond;
        await clock.sleep(dueMs - clock.monotonicMs());
        const claimed = await write(`${callsPerSecond}-${index}`, 0);
        if (claimed > 0 && (await write(`${callsPerSecond}-${index}`, claimed)) > 0) {
            latencies.push(clock.monotonicMs() - dueMs);
        }
    });
    await Promise.all(calls);
    await agent.destroy();
    const recorder = LatencyRecorder.of(latencies);
    return {
        calls: total,
        goodputPerSecond: latencies.length / (phaseMs / 1000),
        notWhole: total - latencies.length,
        wholeP50Ms: recorder.percentileMs(50),
        wholeP99Ms: recorder.percentileMs(99),
        platformWritesPerSecond: (await readPlatformWrites(system) - before) / (phaseMs / 1000),
    };
}

async function readPlatformWrites(system: RunningSystem): Promise<number> {
    return Number((await system.platform.counters())["writes"]);
}
