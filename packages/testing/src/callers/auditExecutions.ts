import type { CallRecord } from "./CallRecord.js";
import type { Executions } from "./Executions.js";

/** What is wrong when callers' records are held against the service's own count; all empty when nothing is. */
interface AuditFindings {
    /** Keys that ran more than once. */
    ranTwice: string[];
    /** Request ids of which a refusal said that they did not run, and which ran. */
    falseRefusals: string[];
    /** Keys answered whole that never ran. */
    answeredWithoutRun: string[];
}

/** Holds the records of plain service calls against what all endpoints of the service executed. */
export function auditExecutions(records: readonly CallRecord[], executions: readonly Executions[]): AuditFindings {
    const keyed = records.filter(record => record.kind === "keyed");
    const runs = (key: string) => executions.reduce((sum, one) => sum + (one.byKey[key] ?? 0), 0);
    const hasRun = (requestId: string) => executions.some(one => (one.byRequestId[requestId] ?? 0) > 0);
    const keys = keyed.map(record => record.idempotencyKey ?? "");
    return {
        ranTwice: keys.filter(key => runs(key) > 1),
        falseRefusals: records.filter(record => record.kind !== "chat").flatMap(record => record.attempts)
            .filter(attempt => attempt.answerClass === "refused-did-not-run" && hasRun(attempt.requestId))
            .map(attempt => attempt.requestId),
        answeredWithoutRun: keyed
            .filter(record => record.finalClass === "whole" && runs(record.idempotencyKey ?? "") === 0)
            .map(record => record.idempotencyKey ?? ""),
    };
}
