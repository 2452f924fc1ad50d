import type { Revision } from "./Revision.js";
import type { StoredObject } from "./StoredObject.js";

/** Result of listing objects: the objects, and the revision of the store that they reflect. */
export type ListOutcome =
    | { kind: "listed"; objects: StoredObject[]; revision: Revision; }
    | { kind: "unavailable"; retryAfterMs: number; };
