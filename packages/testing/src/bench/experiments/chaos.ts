import type { CallRecord } from "../../callers/CallRecord.js";
import { ChaosRun } from "../../chaos/ChaosRun.js";
import { planFaults } from "../../chaos/planFaults.js";
import type { RunningSystem } from "../../system/RunningSystem.js";
import type { Experiment } from "../Experiment.js";
import { summarizeCalls } from "../util/summarizeCalls.js";

/** Duration of the schedule in phases. */
const PHASES = 12;

const VARIANT = "faults by seed";

/** Checks the system's invariants under a schedule of overlapping faults that is drawn from the seed. */
export const chaos: Experiment = {
    description: "checks the system's invariants under overlapping faults that are drawn from the seed",
    run: async context => {
        const durationMs = PHASES * context.phaseMs;
        const { violations, faults, records, counts } = await ChaosRun.run({
            ...context,
            keepLogs: true,
            plan: (system, random) => planFaults(random, durationMs, targetsOf(system)),
        });
        countRefusals(records).forEach(([reason, count]) =>
            context.note(`${count} calls without a complete response: ${reason}`)
        );
        const values = { ...summarizeCalls(records, 0, Infinity), ...counts, faults: faults.length };
        delete (values as Record<string, number>)["goodputPerSecond"];
        return {
            baseline: VARIANT,
            parameters: { durationMs },
            rows: [{ variant: VARIANT, phase: "", values: { ...values, violations: violations.length } }],
            chartColumn: "wholeP99Ms",
            violations,
        };
    },
};

/** Counts the calls without a complete response, by the way in which their last attempt ended. */
function countRefusals(records: readonly CallRecord[]): Array<[string, number]> {
    const counts = new Map<string, number>();
    for (const { kind, finalClass, attempts } of records.filter(record => record.finalClass !== "correct")) {
        const reason = `${kind} ${finalClass} ${attempts.at(-1)?.detail ?? ""}`;
        counts.set(reason, (counts.get(reason) ?? 0) + 1);
    }
    return [...counts];
}

function targetsOf(system: RunningSystem) {
    const { entryVms, engineVms, options } = system.topology;
    const hosts = engineVms.map(vm => system.topology.engineProcessOf(vm.name));
    return {
        routers: entryVms.map(vm => vm.router.name),
        controllers: entryVms.map(vm => vm.controller.name),
        hosts: [...new Set(hosts)],
        vms: engineVms.map(vm => vm.name),
        zones: options.zones,
        domains: [...new Set(engineVms.map(vm => vm.fabricDomain))],
    };
}
