import type { JournalAnswer } from "./JournalAnswer.js";

/** Result of claiming an idempotency key. Only `claimed` allows to send the call. */
export type JournalClaimOutcome =
    | { kind: "claimed"; }
    /** Another attempt holds it: in progress, or its outcome is unknown. */
    | { kind: "held-by-other"; }
    | { kind: "finished"; answer: JournalAnswer; }
    /** It ran; the answer is no longer held. */
    | { kind: "finished-without-answer"; }
    /** The key was used with another content. */
    | { kind: "mismatched-request"; }
    /** Nothing was recorded. */
    | { kind: "unavailable"; retryAfterMs: number; }
    /** The claim may have been recorded, or may be yet. */
    | { kind: "unknown"; };
