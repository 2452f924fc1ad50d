import type { StoredObject } from "./StoredObject.js";

/** Result of reading one object. */
export type ReadOutcome =
    | { kind: "found"; object: StoredObject; }
    | { kind: "absent"; }
    | { kind: "unavailable"; retryAfterMs: number; };
