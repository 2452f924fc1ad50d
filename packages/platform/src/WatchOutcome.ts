import type { ObjectChange } from "./ObjectChange.js";
import type { Revision } from "./Revision.js";

/** Result of one long-polling watch call. */
export type WatchOutcome =
    /** Changes in order of revision, possibly none; the next watch continues from `revision`. */
    | { kind: "changed"; changes: ObjectChange[]; revision: Revision; }
    /** The store no longer has the history after this revision: the caller has to list again. */
    | { kind: "compacted"; }
    | { kind: "unavailable"; retryAfterMs: number; };
