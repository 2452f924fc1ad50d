import type { Revision } from "@fescuehaven/platform";

/** Since when a revision of an object is in force in this process. */
export interface ActiveRevision {
    revision: Revision;
    /** True: the object is in force as removed. */
    deleted: boolean;
    /** Wall clock of this process. */
    since: Date;
}
