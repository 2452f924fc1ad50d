import type { ServiceAnswer } from "./ServiceAnswer.js";

/** Result of claiming an idempotency key. */
export type KeyClaimOutcome =
    | { kind: "claimed"; }
    /** Another call holds it: in progress, or its outcome is unknown. */
    | { kind: "held-by-other"; }
    | { kind: "finished"; answer: ServiceAnswer; }
    /** It ran; the answer is no longer held. */
    | { kind: "finished-without-answer"; }
    /** The key was used with another content. */
    | { kind: "mismatched-request"; }
    /** Nothing was recorded. */
    | { kind: "unavailable"; retryAfterMs: number; }
    /** The claim may or may not have been recorded. */
    | { kind: "unknown"; };
