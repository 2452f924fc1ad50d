import type { Era } from "./Era.js";
import type { ObjectChange } from "./ObjectChange.js";
import type { Revision } from "./Revision.js";

/** Result of one long-polling watch call. */
export type WatchOutcome =
    /** Changes in order of revision, possibly none; the next watch continues from `revision`. */
    | { kind: "changed"; changes: ObjectChange[]; revision: Revision; era?: Era; }
    /** The store no longer has the history after this revision, or it belongs to an older era: the caller has to list again. */
    | { kind: "compacted"; era?: Era; }
    | { kind: "unavailable"; retryAfterMs: number; };
