import { createRefusal } from "../createRefusal.js";
import type { Refusal } from "../Refusal.js";
import type { refusalTable } from "../refusalTable.js";
import type { PlacementOutcome } from "./PlacementOutcome.js";

type Failure = Exclude<PlacementOutcome<never>, { kind: "placed"; }>;

const refusalTypes = {
    "account-queue-full": "too-many-requests",
    "queue-full": "overloaded",
    "deadline-unreachable": "deadline-unreachable",
    "no-upstream": "no-upstream",
    "deadline-passed": "deadline",
    "aborted": "deadline",
} as const satisfies Record<Failure["kind"], keyof typeof refusalTable>;

/** The final answer to a call that found no place. */
export function refusePlacement(failure: Failure, ran: Refusal["ran"], callerSignal: AbortSignal): Refusal {
    const type = failure.kind === "aborted" && callerSignal.aborted ? "caller-gone" : refusalTypes[failure.kind];
    return createRefusal(type, ran, { retryAfterMs: "retryAfterMs" in failure ? failure.retryAfterMs : undefined });
}
