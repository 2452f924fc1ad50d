import type { Revision } from "./Revision.js";

/** An object as the platform stores it. */
export interface StoredObject<T = unknown> {
    kind: string;
    name: string;
    revision: Revision;
    value: T;
}
