import type { JournalResponse } from "./JournalResponse.js";

/** Result of claiming an idempotency key. Only `claimed` permits sending the call. */
export type JournalClaimOutcome =
    | { kind: "claimed"; }
    /** Another attempt holds the key: it is in progress, or its outcome is unknown. */
    | { kind: "held-by-other"; }
    | { kind: "finished"; response: JournalResponse; }
    /** The call ran, but its response is no longer stored. */
    | { kind: "finished-without-response"; }
    /** The key was used for a call with different content. */
    | { kind: "mismatched-request"; }
    /** No record of the key exists, but the store has lost records of calls that were issued at that time. */
    | { kind: "possibly-lost"; }
    /** The claim was not recorded. */
    | { kind: "unavailable"; retryAfterMs: number; }
    /** The claim may have been recorded, or may still be recorded later. */
    | { kind: "unknown"; };
