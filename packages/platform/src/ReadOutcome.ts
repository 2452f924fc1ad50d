import type { StoredObject } from "./StoredObject.js";

/** Result of a read. */
export type ReadOutcome =
    | { kind: "found"; object: StoredObject; }
    | { kind: "absent"; }
    | { kind: "unavailable"; retryAfterMs: number; };
