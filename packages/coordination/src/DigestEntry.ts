import type { ObjectKey, Revision } from "@fescuehaven/platform";

/** One line of a configuration digest: what a process holds of one object. */
export interface DigestEntry extends ObjectKey {
    revision: Revision;
    /** The object was removed; `revision` is at or after its removal. */
    deleted: boolean;
}
