import type { Era } from "./Era.js";
import type { Revision } from "./Revision.js";

/** Result of a conditional update. */
export type UpdateOutcome =
    | { kind: "committed"; revision: Revision; era?: Era; }
    /** The object has another revision than expected; `current` is 0 if it is absent. */
    | { kind: "conflict"; current: Revision; era?: Era; }
    /** The update is known not to have taken effect. */
    | { kind: "unavailable"; retryAfterMs: number; }
    /** The platform rejects this value; a retry is useless. */
    | { kind: "invalid"; reason: string; }
    /** The response was lost: the update may have taken effect. */
    | { kind: "unknown"; };
