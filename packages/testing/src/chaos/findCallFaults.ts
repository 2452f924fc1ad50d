import { auditExecutions } from "../callers/auditExecutions.js";
import type { CallRecord } from "../callers/CallRecord.js";
import type { Executions } from "../callers/Executions.js";
import type { RunningSystem } from "../system/RunningSystem.js";
import type { ChaosState } from "./ChaosState.js";

/** Time around a call in which a disturbance of its router may have cut it, ms. */
const MARGIN_MS = 3000;

/** Says which calls were answered wrongly, refused falsely, run twice, or cut though their router was undisturbed. */
export function findCallFaults(
    records: readonly CallRecord[],
    executions: readonly Executions[],
    system: RunningSystem,
    state: ChaosState,
): string[] {
    const audit = auditExecutions(records, executions);
    const routers = new Map(system.topology.entryVms.map(vm => [vm.router.url, vm.router.name]));
    const faults = [
        ...audit.ranTwice.map(key => `The key ${key} ran more than once.`),
        ...audit.falseRefusals.map(id => `The request ${id} was refused as not run, and ran.`),
        ...audit.answeredWithoutRun.map(key => `The key ${key} was answered whole and never ran.`),
    ];
    for (const record of records) {
        record.attempts.forEach((attempt, index) => {
            const { responseClass, requestId, detail, endedAtMs } = attempt;
            const name = routers.get(attempt.router) ?? "";
            const line = `${record.kind} ${requestId} at ${name}: ${responseClass} ${detail}`;
            const fromMs = record.attempts[index - 1]?.endedAtMs ?? record.startedAtMs;
            const wasDisturbed = state.wasDisturbed(name, fromMs - MARGIN_MS, endedAtMs + MARGIN_MS);
            if (responseClass === "wrong" || responseClass === "duplicated") {
                faults.push(line);
            }
            else if (responseClass === "truncated" && !wasDisturbed && !detail.startsWith("{")) {
                faults.push(line);
            }
        });
    }
    return faults;
}
