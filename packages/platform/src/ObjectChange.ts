import type { StoredObject } from "./StoredObject.js";

/** A change reported by a watch. A removed object has the revision of its removal. */
export type ObjectChange =
    | { kind: "written"; object: StoredObject; }
    | { kind: "removed"; object: Omit<StoredObject, "value">; };
