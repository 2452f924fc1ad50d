import { auditExecutions } from "../callers/auditExecutions.js";
import type { CallRecord } from "../callers/CallRecord.js";
import type { Executions } from "../callers/Executions.js";
import type { RunningSystem } from "../system/RunningSystem.js";
import type { ChaosState } from "./ChaosState.js";

/** Time before and after a call in which a disturbance of its router may have interrupted it. */
const MARGIN_MS = 3000;

/**
 * Returns the calls that got a wrong response, ran although refused as not executed, ran more than once, were answered
 * but never ran, or were truncated although their router was not disturbed.
 */
export function findCallViolations(
    records: readonly CallRecord[],
    executions: readonly Executions[],
    system: RunningSystem,
    state: ChaosState,
): string[] {
    const audit = auditExecutions(records, executions);
    const routerNames = new Map(system.topology.entryVms.map(vm => [vm.router.url, vm.router.name]));
    const violations = [
        ...audit.ranTwice.map(key => `The idempotency key ${key} ran more than once.`),
        ...audit.falseRefusals.map(id => `The request ${id} was refused as not executed, but it ran.`),
        ...audit.answeredWithoutRun.map(key => `The idempotency key ${key} got a correct response, but it never ran.`),
    ];
    for (const record of records) {
        record.attempts.forEach((attempt, index) => {
            const { responseClass, requestId, detail, endedAtMs } = attempt;
            const routerName = routerNames.get(attempt.router) ?? "";
            const description = `${record.kind} ${requestId} at ${routerName}: ${responseClass} ${detail}`;
            const fromMs = record.attempts[index - 1]?.endedAtMs ?? record.startedAtMs;
            const wasDisturbed = state.wasDisturbed(routerName, fromMs - MARGIN_MS, endedAtMs + MARGIN_MS);
            if (responseClass === "wrong" || responseClass === "duplicated") {
                violations.push(description);
            }
            else if (responseClass === "truncated" && !wasDisturbed && !detail.startsWith("{")) {
                violations.push(description);
            }
        });
    }
    return violations;
}
