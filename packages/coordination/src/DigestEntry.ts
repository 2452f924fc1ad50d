import type { ObjectKey, Revision } from "@fescuehaven/platform";

/** An entry of a configuration digest: the revision of one object that a process has. */
export interface DigestEntry extends ObjectKey {
    revision: Revision;
    /** True if the object was removed; `revision` is then that of its removal or later. */
    deleted: boolean;
}
