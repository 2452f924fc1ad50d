import type { AttemptResult } from "./AttemptResult.js";

/** Returns the fields of a log line that say how an attempt ended. */
export function attemptLogFields(result: AttemptResult): Readonly<Record<string, unknown>> {
    return {
        outcome: result.kind,
        reason: "reason" in result ? result.reason : undefined,
        status: statusOf(result),
    };
}

/** Returns the status of a complete error response. */
function statusOf(result: AttemptResult): number | undefined {
    if (result.kind === "failure-answer") {
        return result.head.status;
    }
    return result.kind === "withheld-answer" ? result.status : undefined;
}
