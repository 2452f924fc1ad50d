import type { LeaseResult } from "../limits/LeaseResult.js";
import type { AttemptOutcome } from "./AttemptOutcome.js";

/** Maps the outcome of an attempt to its effect on the upstream's limit. */
export function leaseResultOf(outcome: AttemptOutcome): LeaseResult {
    switch (outcome.kind) {
        case "finished":
            return { kind: "completed" };
        case "broken":
            return { kind: "reset" };
        case "refused":
            return { kind: outcome.reason === "overloaded" ? "overloaded" : "neutral" };
        case "aborted":
            return { kind: "neutral" };
    }
}
