import type { Revision } from "@fescuehaven/platform";

/** The active revision of an object in this process, and since when it is active. */
export interface ActiveRevision {
    revision: Revision;
    /** True if the object is known to be removed. */
    deleted: boolean;
    /** Time at which it became active, on the wall clock of this process. */
    since: Date;
}
