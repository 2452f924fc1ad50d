import type { Revision } from "./Revision.js";

/** Result of a conditional update. */
export type UpdateOutcome =
    | { kind: "committed"; revision: Revision; }
    /** Another update came first; `current` is 0 when the object is absent. */
    | { kind: "conflict"; current: Revision; }
    /** Known not to have taken effect. */
    | { kind: "unavailable"; retryAfterMs: number; }
    /** The platform will never take this value. */
    | { kind: "invalid"; reason: string; }
    /** The answer was lost: it may have taken effect. */
    | { kind: "unknown"; };
