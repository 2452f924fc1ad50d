import type { Era } from "./Era.js";
import type { StoredObject } from "./StoredObject.js";

/** Result of reading one object. */
export type ReadOutcome =
    | { kind: "found"; object: StoredObject; era?: Era; }
    | { kind: "absent"; era?: Era; }
    | { kind: "unavailable"; retryAfterMs: number; };
