import type { StoredObject } from "@fescuehaven/platform";

/** Result of checking an object against the schema of its kind. */
export type ValidationOutcome =
    | { kind: "valid"; object: StoredObject; }
    | { kind: "refused"; reason: string; };
