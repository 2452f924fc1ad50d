import type { ServiceAnswer } from "./ServiceAnswer.js";

/** Result of sending one call to a plain service. */
export type ServiceOutcome =
    | { kind: "answered"; answer: ServiceAnswer; }
    /** Nothing was sent, or the service itself said that it did not run the call. */
    | { kind: "did-not-run"; reason: string; retryAfterMs?: number; }
    /** Sent, without a whole answer. */
    | { kind: "outcome-unknown"; reason: string; };
