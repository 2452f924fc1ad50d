import { CallerClient } from "../../callers/CallerClient.js";
import type { ChatCall } from "../../callers/ChatCall.js";
import { promptOf } from "../../callers/promptOf.js";
import { expectedTokens } from "../../standins/expectedTokens.js";
import { RunningSystem } from "../../system/RunningSystem.js";
import type { Experiment } from "../Experiment.js";
import type { ExperimentContext } from "../ExperimentContext.js";
import type { ExperimentResult } from "../ExperimentResult.js";
import { closedLoop } from "../util/closedLoop.js";
import { DirectCalls } from "../util/DirectCalls.js";
import { requireWhole } from "../util/requireWhole.js";

const ZONE = "zone-a";
const GROUP = "dive-report-a-1";
const MAX_TOKENS = 16;
const TIMEOUT_MS = 20_000;

/** Numbers of concurrent callers, each of which sends one call after the other. */
const CALLERS = [1, 16];

/** Higher than any load in this experiment. */
const CAPACITY = 128;

/** A way to send calls, and the process whose processor time is measured. */
interface CallPath {
    variant: string;
    process: string;
    call: (id: string) => Promise<number>;
}

/** Measures a router's added latency and its calls per second per core, compared with direct calls to the stand-ins. */
export const routerOverhead: Experiment = {
    description: "added latency and calls per second per core, against calling the stand-ins directly",
    run: async context => {
        const system = await RunningSystem.start({
            ...context,
            topology: {
                zones: [ZONE],
                entryVmsPerZone: 1,
                engineVmsPerZone: 1,
                router: { plannedRouters: 1 },
                engineBehaviour: {
                    tokenMs: 1,
                    prefillMs: 0,
                    jitter: 0,
                    warmCapacity: CAPACITY,
                    coldCapacity: CAPACITY,
                },
                service: { executionMs: 0 },
            },
            objects: { memberCount: 1, maxConcurrentRequests: CAPACITY, coldConcurrentRequests: CAPACITY },
        });
        try {
            await system.untilPhase("ready");
            return await measure(context, system);
        }
        finally {
            await system.stop();
        }
    },
};

async function measure(context: ExperimentContext, system: RunningSystem): Promise<ExperimentResult> {
    const { clock, phaseMs } = context;
    const direct = DirectCalls.create(clock);
    const client = CallerClient.create({ clock });
    const callPaths = await createCallPaths(context, system, direct, client);
    const rows: ExperimentResult["rows"] = [];
    for (const callers of CALLERS) {
        for (const { variant, process, call } of callPaths) {
            context.note(`${variant}, ${callers} callers`);
            const pid = system.process(process).pid ?? 0;
            const values = await closedLoop({ clock, durationMs: phaseMs, callers, pid, call });
            rows.push({ variant, phase: `${callers} callers`, values });
        }
    }
    await client.close();
    await direct.close();
    return {
        baseline: "chat direct",
        parameters: { maxTokens: MAX_TOKENS, tokenMs: 1, phaseMs },
        rows,
        chartColumn: "callsPerCoreSecond",
    };
}

async function createCallPaths(
    context: ExperimentContext,
    system: RunningSystem,
    direct: DirectCalls,
    client: CallerClient,
): Promise<CallPath[]> {
    const { clock } = context;
    const epoch = (await system.status(GROUP))?.epoch ?? 0;
    const [vm] = system.topology.engineVms;
    const [entry] = system.topology.entryVms;
    const [account] = system.objects.accounts;
    if (!vm || !entry || !account) {
        throw new Error("The topology has no VM.");
    }
    const { model, modelVersion } = system.objects.options;
    const chatOf = (requestId: string): ChatCall => ({
        requestId,
        account,
        model,
        content: requestId,
        maxTokens: MAX_TOKENS,
        stream: true,
        timeoutMs: TIMEOUT_MS,
    });
    const engineUrl = system.topology.engineUrl(vm.name);
    const serviceUrl = `${system.topology.serviceUrl(ZONE)}/lookup`;
    return [
        {
            variant: "chat direct",
            process: "engines-a",
            call: id => direct.generate(engineUrl, GROUP, epoch, chatOf(id)),
        },
        {
            variant: "chat by router",
            process: entry.router.name,
            call: async id => {
                const call = chatOf(id);
                const { outcome, timing } = await client.chat(entry.router.url, call);
                const expected = expectedTokens(modelVersion, promptOf(call), MAX_TOKENS).join("");
                requireWhole(outcome.kind === "answered" && outcome.parts.join("") === expected, outcome);
                return timing.totalMs;
            },
        },
        { variant: "service direct", process: "service-a", call: id => direct.service(serviceUrl, id) },
        {
            variant: "service by router",
            process: entry.router.name,
            call: async id => {
                const { outcome, timing } = await client.service(entry.router.url, {
                    requestId: id,
                    account,
                    route: "lookup",
                    body: id,
                    issuedAt: clock.now().toISOString(),
                    timeoutMs: TIMEOUT_MS,
                });
                requireWhole(outcome.kind === "answered", outcome);
                return timing.totalMs;
            },
        },
    ];
}
