import type { RunningSystem } from "../system/RunningSystem.js";
import { findLeftovers } from "./findLeftovers.js";

/** Says what is not yet as it should be once no fault is left; `revisions` are those in force by process. */
export async function findUnrecovered(
    system: RunningSystem,
    revisions: ReadonlyMap<string, number | undefined>,
): Promise<string[]> {
    const found = await Promise.all([
        findUnreadyGroups(system),
        findUnreadyProcesses(system),
        findZoneLeftovers(system),
    ]);
    const inForce = new Set(revisions.values());
    const revisionFaults = inForce.size === 1 && !inForce.has(undefined)
        ? []
        : [`Revisions in force differ: ${JSON.stringify([...revisions])}.`];
    return [...found.flat(), ...revisionFaults];
}

/** Each group has to be ready with what its object asks for. */
async function findUnreadyGroups(system: RunningSystem): Promise<string[]> {
    const faults = system.objects.groupNames().map(async name => {
        const [status, group] = await Promise.all([system.status(name), system.platform.get("serving-group", name)]);
        const isReady = status?.phase === "ready" && status.modelVersion === group?.value.modelVersion;
        return isReady ? [] : [`${name} is ${status?.phase} with ${status?.modelVersion}: ${status?.message}`];
    });
    return (await Promise.all(faults)).flat();
}

async function findUnreadyProcesses(system: RunningSystem): Promise<string[]> {
    const faults = system.topology.daemons().map(async ({ name }) => {
        const isReady = await system.process(name).isReady().catch(() => false);
        return isReady ? [] : [`${name} is not ready.`];
    });
    return (await Promise.all(faults)).flat();
}

async function findZoneLeftovers(system: RunningSystem): Promise<string[]> {
    const faults = system.topology.options.zones.map(async zone => {
        const ledger = (await system.platform.get("zone-ledger", zone))?.value;
        const engines = system.engines().filter(engine => engine.zone === zone);
        const reports = await Promise.all(engines.map(engine => engine.admin.report()));
        return ledger ? findLeftovers(ledger, reports) : [`${zone} has no ledger.`];
    });
    return (await Promise.all(faults)).flat();
}
