import type { RunningSystem } from "../system/RunningSystem.js";
import { findLeftovers } from "./findLeftovers.js";

/** Returns what has not recovered yet after the faults; `revisions` has the active configuration revision by process. */
export async function findUnrecovered(
    system: RunningSystem,
    revisions: ReadonlyMap<string, number | undefined>,
): Promise<string[]> {
    const problems = await Promise.all([
        findUnreadyGroups(system),
        findUnreadyProcesses(system),
        findZoneLeftovers(system),
    ]);
    const activeRevisions = new Set(revisions.values());
    const revisionProblems = activeRevisions.size === 1 && !activeRevisions.has(undefined)
        ? []
        : [`Active revisions differ: ${JSON.stringify([...revisions])}.`];
    return [...problems.flat(), ...revisionProblems];
}

/** Returns the groups that are not ready with the model version of their object. */
async function findUnreadyGroups(system: RunningSystem): Promise<string[]> {
    const problems = system.objects.groupNames().map(async name => {
        const [status, group] = await Promise.all([system.status(name), system.platform.get("serving-group", name)]);
        const isReady = status?.phase === "ready" && status.modelVersion === group?.value.modelVersion;
        return isReady
            ? []
            : [`${name} is ${status?.phase} with ${status?.modelVersion}: ${status?.message}`];
    });
    return (await Promise.all(problems)).flat();
}

async function findUnreadyProcesses(system: RunningSystem): Promise<string[]> {
    const problems = system.topology.daemons().map(async ({ name }) => {
        const isReady = await system.process(name).isReady().catch(() => false);
        return isReady ? [] : [`${name} is not ready.`];
    });
    return (await Promise.all(problems)).flat();
}

async function findZoneLeftovers(system: RunningSystem): Promise<string[]> {
    const problems = system.topology.options.zones.map(async zone => {
        const ledger = (await system.platform.get("zone-ledger", zone))?.value;
        const engines = system.engines().filter(engine => engine.zone === zone);
        const reports = await Promise.all(engines.map(engine => engine.admin.report()));
        return ledger ? findLeftovers(ledger, reports) : [`${zone} has no ledger.`];
    });
    return (await Promise.all(problems)).flat();
}
