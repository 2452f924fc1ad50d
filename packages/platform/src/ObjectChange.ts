import type { StoredObject } from "./StoredObject.js";

/** A change seen by a watch. A removed object carries the revision of its removal. */
export type ObjectChange =
    | { kind: "written"; object: StoredObject; }
    | { kind: "removed"; object: Omit<StoredObject, "value">; };
