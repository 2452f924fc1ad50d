import type { Revision } from "./Revision.js";
import type { StoredObject } from "./StoredObject.js";

/** Result of a list: the objects, and the store's revision that they reflect. */
export type ListOutcome =
    | { kind: "listed"; objects: StoredObject[]; revision: Revision; }
    | { kind: "unavailable"; retryAfterMs: number; };
