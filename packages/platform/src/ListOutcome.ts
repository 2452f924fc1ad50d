import type { Era } from "./Era.js";
import type { Revision } from "./Revision.js";
import type { StoredObject } from "./StoredObject.js";

/** Result of listing objects: the objects, and the revision of the store that they reflect, in its era. */
export type ListOutcome =
    | { kind: "listed"; objects: StoredObject[]; revision: Revision; era?: Era; }
    | { kind: "unavailable"; retryAfterMs: number; };
