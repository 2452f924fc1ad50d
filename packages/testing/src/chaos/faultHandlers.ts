import type { EngineFaults } from "../standins/EngineFaults.js";
import type { PlatformFaults } from "../standins/PlatformFaults.js";
import type { FaultContext } from "./FaultContext.js";
import type { FaultKind } from "./FaultKind.js";
import type { PlannedFault } from "./PlannedFault.js";
import { restartRouters } from "./restartRouters.js";
import { rollOut } from "./rollOut.js";
import { takeOut } from "./takeOut.js";
import { persistently } from "./util/persistently.js";

/** Longest wait for a process that was started again, ms. */
const READY_DEADLINE_MS = 60_000;

/** Calls of a plain service that one fault hits. */
const SERVICE_CALLS = 2;

/** Writes whose answers or effects one fault loses. */
const LOST_WRITES = 4;

type FaultHandler = (context: FaultContext, fault: PlannedFault) => Promise<void>;

/** Brings each kind of fault about and ends it when its time is over. */
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
    "restart-engine": async (context, fault) => hitEngine(context, { ...fault, durationMs: 0 }, { restart: true }, {}),
    "engine-ignores-fencing": async (context, fault) =>
        hitEngine(context, fault, { ignoreFencing: true }, { ignoreFencing: false }),
    "engine-silent": async (context, fault) => hitEngine(context, fault, { silent: true }, { silent: false }),
    "engine-slow": async (context, fault) => hitEngine(context, fault, { slowFactor: 5 }, { slowFactor: 1 }),
    "engine-breaks-streams": async (context, fault) => hitEngine(context, fault, { breakAfterTokens: 3 }, {}),
    "engine-crosses-answers": async (context, fault) =>
        hitEngine(context, fault, { crossAnswers: true, duplicateTokens: true }, {
            crossAnswers: false,
            duplicateTokens: false,
        }),
    "platform-outage": async (context, fault) => hitPlatform(context, fault, { outage: true }, { outage: false }),
    "platform-slow": async (context, fault) => hitPlatform(context, fault, { delayMs: 300 }, { delayMs: 0 }),
    "platform-loses-answers": async (context, fault) =>
        hitPlatform(context, fault, { loseNextAnswers: LOST_WRITES }, { loseNextAnswers: 0 }),
    "platform-loses-writes": async (context, fault) =>
        hitPlatform(context, fault, { loseNextWrites: LOST_WRITES }, { loseNextWrites: 0 }),
    "platform-silent-watches": async (context, fault) =>
        hitPlatform(context, fault, { silentWatches: true }, { silentWatches: false }),
    "zone-cut-off": async ({ system, clock, state }, { target, durationMs }) => {
        state.cutOffZones.add(target);
        await state.applyCuts(system);
        await clock.sleep(durationMs);
        state.cutOffZones.delete(target);
        await state.applyCuts(system);
    },
    "drain-zone": async (context, fault) => takeOut(context, fault, "availability-zone"),
    "drain-vm": async (context, fault) => takeOut(context, fault, "vm"),
    "drain-fabric-domain": async (context, fault) => takeOut(context, fault, "fabric-domain"),
    "vm-leaves": async ({ system, clock, state }, { target, durationMs }) => {
        state.leavingVms.add(target);
        await state.applyLeaving(system);
        await clock.sleep(durationMs);
        state.leavingVms.delete(target);
        await state.applyLeaving(system);
    },
    "service-loses-answers": async ({ system }, { target }) =>
        system.service(target).setFaults({ dieAfterExecuting: SERVICE_CALLS, hangAfterExecuting: SERVICE_CALLS }),
    "service-refuses": async ({ system }, { target }) => system.service(target).setFaults({ refuse: SERVICE_CALLS }),
    "roll-out": rollOut,
    "restart-routers": restartRouters,
};

/** An engine whose process is down takes no faults, and loses them when it starts anew. */
async function hitEngine(
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

async function hitPlatform(
    { system, clock }: FaultContext,
    { durationMs }: PlannedFault,
    during: PlatformFaults,
    afterwards: PlatformFaults,
): Promise<void> {
    await system.platform.setFaults(during);
    await clock.sleep(durationMs);
    await persistently(clock, "end of a platform fault", () => system.platform.setFaults(afterwards));
}
