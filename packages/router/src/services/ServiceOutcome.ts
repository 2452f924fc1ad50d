import type { ServiceResponse } from "./ServiceResponse.js";

/** Result of sending one call to a plain service. */
export type ServiceOutcome =
    | { kind: "answered"; response: ServiceResponse; }
    /** Nothing was sent, or the service reported that it did not run the call. */
    | { kind: "did-not-run"; reason: string; retryAfterMs?: number; }
    /** The call was sent, but no complete response was received. */
    | { kind: "outcome-unknown"; reason: string; };
