import { RunningSystem } from "../../system/RunningSystem.js";
import type { Experiment } from "../Experiment.js";
import type { ExperimentContext } from "../ExperimentContext.js";
import type { ExperimentResult } from "../ExperimentResult.js";
import { fitSlope } from "../util/fitSlope.js";
import { UsageMeter } from "../util/UsageMeter.js";

const ZONE = "zone-a";
const MEMBERS = 2;

/** Time limit for all groups to become ready. */
const READY_DEADLINE_MS = 90_000;

/** Numbers of routers, VMs and groups of the zone in a run. */
interface ZoneSize {
    routers: number;
    vms: number;
    groups: number;
}

const SMALLEST: ZoneSize = { routers: 2, vms: 8, groups: 2 };

/** Series of runs in which one number grows while the others are constant. */
const SWEEPS: ReadonlyArray<{ part: keyof ZoneSize; sizes: readonly ZoneSize[]; }> = [
    { part: "routers", sizes: [2, 4, 8, 12].map(routers => ({ ...SMALLEST, routers })) },
    { part: "vms", sizes: [8, 32, 64, 96].map(vms => ({ ...SMALLEST, vms })) },
    { part: "groups", sizes: [2, 8, 16, 32].map(groups => ({ ...SMALLEST, vms: 64, groups })) },
];

const ROLES = ["router", "controller"] as const;
const COLUMNS = ["cpuPercent", "residentMiB", "kilobytesPerSecond"] as const;

type Costs = Record<(typeof COLUMNS)[number], number>;

/** Measures the resources that a daemon uses without any calls, and how they grow with the size of its zone. */
export const controlCost: Experiment = {
    description: "processor time, memory and bytes per second of a daemon without calls as its zone grows",
    run: async context => {
        const rows: ExperimentResult["rows"] = [];
        for (const { part, sizes } of SWEEPS) {
            const points: Array<{ x: number; costs: Awaited<ReturnType<typeof measure>>; }> = [];
            for (const size of sizes) {
                const costs = await measure(context, size);
                points.push({ x: size[part], costs });
                rows.push(...ROLES.map(role => ({ variant: role, phase: labelOf(size), values: costs[role] })));
            }
            rows.push(...ROLES.map(role => ({
                variant: role,
                phase: `slope for each of ${part}`,
                values: Object.fromEntries(COLUMNS.map(column => [
                    column,
                    fitSlope(points.map(({ x, costs }) => ({ x, y: costs[role][column] }))),
                ])),
            })));
        }
        return {
            baseline: "router",
            parameters: { members: MEMBERS, phaseMs: context.phaseMs },
            rows,
            chartColumn: "cpuPercent",
        };
    },
};

/** Measures the mean cost of a daemon of each role in a zone of this size, with all groups ready and no calls. */
async function measure(context: ExperimentContext, size: ZoneSize): Promise<Record<(typeof ROLES)[number], Costs>> {
    context.note(labelOf(size));
    const system = await RunningSystem.start({
        ...context,
        topology: {
            zones: [ZONE],
            entryVmsPerZone: size.routers,
            engineVmsPerZone: size.vms,
            router: { plannedRouters: size.routers },
            weightStoreGiBPerSecond: 1000,
        },
        objects: { groupsPerZone: size.groups, memberCount: MEMBERS },
    });
    try {
        await system.untilPhase("ready", undefined, READY_DEADLINE_MS);
        await context.clock.sleep(context.phaseMs / 2);
        const router = await meanCost(context, system, system.topology.entryVms.map(vm => vm.router.name));
        const controller = await meanCost(context, system, system.topology.entryVms.map(vm => vm.controller.name));
        return { router, controller };
    }
    finally {
        await system.stop();
    }
}

async function meanCost(context: ExperimentContext, system: RunningSystem, names: readonly string[]): Promise<Costs> {
    const pids = names.map(name => system.process(name).pid ?? 0);
    const meter = await UsageMeter.create(context.clock, pids);
    await context.clock.sleep(context.phaseMs);
    const spans = await meter.read();
    const mean = (pick: (span: (typeof spans)[number]) => number) =>
        spans.reduce((sum, span) => sum + pick(span), 0) / spans.length;
    return {
        cpuPercent: mean(span => span.cpuCores * 100),
        residentMiB: mean(span => span.residentMiB),
        kilobytesPerSecond: mean(span => span.kilobytesPerSecond),
    };
}

function labelOf(size: ZoneSize): string {
    return `${size.routers} routers, ${size.vms} VMs, ${size.groups} groups`;
}
