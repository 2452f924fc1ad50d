import type { CallRecord } from "./CallRecord.js";
import type { Executions } from "./Executions.js";

/** Contradictions between the callers' records and the service's own counts; all lists are empty if there are none. */
interface AuditFindings {
    /** Idempotency keys that ran more than once. */
    ranTwice: string[];
    /** Ids of requests that ran although they were refused as not executed. */
    falseRefusals: string[];
    /** Idempotency keys with a correct response that never ran. */
    answeredWithoutRun: string[];
}

/** Compares the records of plain service calls with the executions at all endpoints of the service. */
export function auditExecutions(records: readonly CallRecord[], executions: readonly Executions[]): AuditFindings {
    const keyed = records.filter(record => record.kind === "keyed");
    const runCount = (key: string) => executions.reduce((sum, one) => sum + (one.byKey[key] ?? 0), 0);
    const hasRun = (requestId: string) => executions.some(one => (one.byRequestId[requestId] ?? 0) > 0);
    const keys = keyed.map(record => record.idempotencyKey ?? "");
    return {
        ranTwice: keys.filter(key => runCount(key) > 1),
        falseRefusals: records.filter(record => record.kind !== "chat").flatMap(record => record.attempts)
            .filter(attempt => attempt.responseClass === "refused-did-not-run" && hasRun(attempt.requestId))
            .map(attempt => attempt.requestId),
        answeredWithoutRun: keyed
            .filter(record => record.finalClass === "correct" && runCount(record.idempotencyKey ?? "") === 0)
            .map(record => record.idempotencyKey ?? ""),
    };
}
