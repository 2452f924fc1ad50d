import { createRefusal } from "../createRefusal.js";
import type { Refusal } from "../Refusal.js";
import type { refusalTable } from "../refusalTable.js";
import type { AdmissionOutcome } from "./AdmissionOutcome.js";

type Failure = Exclude<AdmissionOutcome<never>, { kind: "admitted"; }>;

const refusalTypes = {
    "account-queue-full": "too-many-requests",
    "queue-full": "overloaded",
    "deadline-unreachable": "deadline-unreachable",
    "no-upstream": "no-upstream",
    "deadline-passed": "deadline",
    "aborted": "deadline",
} as const satisfies Record<Failure["kind"], keyof typeof refusalTable>;

/** Creates the refusal of a call that got no slot. */
export function createAdmissionRefusal(failure: Failure, ran: Refusal["ran"], callerSignal: AbortSignal): Refusal {
    const type = failure.kind === "aborted" && callerSignal.aborted ? "caller-gone" : refusalTypes[failure.kind];
    return createRefusal(type, ran, { retryAfterMs: "retryAfterMs" in failure ? failure.retryAfterMs : undefined });
}
