import type { EngineFaults } from "../standins/EngineFaults.js";
import type { PlatformFaults } from "../standins/PlatformFaults.js";
import type { FaultContext } from "./FaultContext.js";
import type { FaultKind } from "./FaultKind.js";
import type { PlannedFault } from "./PlannedFault.js";
import { restartRouters } from "./restartRouters.js";
import { rollOut } from "./rollOut.js";
import { takeOutOfService } from "./takeOutOfService.js";
import { retryUntilSuccess } from "./util/retryUntilSuccess.js";

/** Longest wait until a restarted process is ready. */
const READY_DEADLINE_MS = 60_000;

/** Number of calls to a plain service that one fault affects. */
const SERVICE_CALLS = 2;

/** Number of writes whose response or effect one fault loses. */
const LOST_WRITES = 4;

type FaultHandler = (context: FaultContext, fault: PlannedFault) => Promise<void>;

/** Handlers that inject each kind of fault and end it after its duration. */
export const faultHandlers: Record<FaultKind, FaultHandler> = {
    "kill-process": async ({ system, clock, state }, { target, durationMs }) =>
        state.disturb(target, async () => {
            const handle = system.process(target);
            await handle.kill();
            await clock.sleep(durationMs);
            await handle.start();
            await handle.untilReady(READY_DEADLINE_MS);
        }),
    "pause-process": async ({ system, clock, state }, { target, durationMs }) =>
        state.disturb(target, async () => {
            const handle = system.process(target);
            handle.pause();
            await clock.sleep(durationMs);
            handle.resume();
        }),
    "restart-engine": async (context, fault) =>
        applyEngineFaults(context, { ...fault, durationMs: 0 }, { restart: true }, {}),
    "engine-ignores-fencing": async (context, fault) =>
        applyEngineFaults(context, fault, { ignoreFencing: true }, { ignoreFencing: false }),
    "engine-silent": async (context, fault) => applyEngineFaults(context, fault, { silent: true }, { silent: false }),
    "engine-slow": async (context, fault) => applyEngineFaults(context, fault, { slowFactor: 5 }, { slowFactor: 1 }),
    "engine-breaks-streams": async (context, fault) => applyEngineFaults(context, fault, { breakAfterTokens: 3 }, {}),
    "engine-crosses-answers": async (context, fault) =>
        applyEngineFaults(context, fault, { crossAnswers: true, duplicateTokens: true }, {
            crossAnswers: false,
            duplicateTokens: false,
        }),
    "platform-outage": async (context, fault) =>
        applyPlatformFaults(context, fault, { outage: true }, { outage: false }),
    "platform-slow": async (context, fault) => applyPlatformFaults(context, fault, { delayMs: 300 }, { delayMs: 0 }),
    "platform-loses-answers": async (context, fault) =>
        applyPlatformFaults(context, fault, { loseNextAnswers: LOST_WRITES }, { loseNextAnswers: 0 }),
    "platform-loses-writes": async (context, fault) =>
        applyPlatformFaults(context, fault, { loseNextWrites: LOST_WRITES }, { loseNextWrites: 0 }),
    "platform-silent-watches": async (context, fault) =>
        applyPlatformFaults(context, fault, { silentWatches: true }, { silentWatches: false }),
    "zone-cut-off": async ({ system, clock, state }, { target, durationMs }) => {
        state.partitionedZones.add(target);
        await state.applyPartitions(system);
        await clock.sleep(durationMs);
        state.partitionedZones.delete(target);
        await state.applyPartitions(system);
    },
    "drain-zone": async (context, fault) => takeOutOfService(context, fault, "availability-zone"),
    "drain-vm": async (context, fault) => takeOutOfService(context, fault, "vm"),
    "drain-fabric-domain": async (context, fault) => takeOutOfService(context, fault, "fabric-domain"),
    "vm-leaves": async ({ system, clock, state }, { target, durationMs }) => {
        state.leavingVms.add(target);
        await state.applyLeavingVms(system);
        await clock.sleep(durationMs);
        state.leavingVms.delete(target);
        await state.applyLeavingVms(system);
    },
    "service-loses-answers": async ({ system }, { target }) =>
        system.service(target).setFaults({ dieAfterExecuting: SERVICE_CALLS, hangAfterExecuting: SERVICE_CALLS }),
    "service-refuses": async ({ system }, { target }) => system.service(target).setFaults({ refuse: SERVICE_CALLS }),
    "roll-out": rollOut,
    "restart-routers": restartRouters,
};

/** Ignores failed calls: an engine whose process is down accepts no faults, and it has none after a restart. */
async function applyEngineFaults(
    { system, clock }: FaultContext,
    { target, durationMs }: PlannedFault,
    during: EngineFaults,
    afterwards: EngineFaults,
): Promise<void> {
    const engine = system.engine(target);
    await engine.setFaults(during).catch(() => undefined);
    await clock.sleep(durationMs);
    await engine.setFaults(afterwards).catch(() => undefined);
}

async function applyPlatformFaults(
    { system, clock }: FaultContext,
    { durationMs }: PlannedFault,
    during: PlatformFaults,
    afterwards: PlatformFaults,
): Promise<void> {
    await system.platform.setFaults(during);
    await clock.sleep(durationMs);
    await retryUntilSuccess(clock, "end of a platform fault", () => system.platform.setFaults(afterwards));
}
