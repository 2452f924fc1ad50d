import type { CallRecord } from "../../src/callers/CallRecord.js";

/** One line about each call that was not answered whole in the end. */
export function describeProblems(records: readonly CallRecord[]): string[] {
    return records.filter(record => record.finalClass !== "correct").map(record => {
        const attempts = record.attempts.map(attempt => `${attempt.router} ${attempt.responseClass} ${attempt.detail}`);
        return `${record.kind}: ${attempts.join("; ")}`;
    });
}
