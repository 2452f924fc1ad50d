import type { CallRecord } from "../../src/callers/CallRecord.js";

/** Returns one line about each call whose last attempt did not get a complete and correct response. */
export function describeProblems(records: readonly CallRecord[]): string[] {
    return records.filter(record => record.finalClass !== "correct").map(record => {
        const attempts = record.attempts.map(attempt => `${attempt.router} ${attempt.responseClass} ${attempt.detail}`);
        return `${record.kind}: ${attempts.join("; ")}`;
    });
}
