import type { CallClass } from "../CallClass.js";
import type { Era } from "../Era.js";
import type { ListOutcome } from "../ListOutcome.js";
import type { ObjectKey } from "../ObjectKey.js";
import type { ReadOutcome } from "../ReadOutcome.js";
import type { Revision } from "../Revision.js";
import type { UpdateOutcome } from "../UpdateOutcome.js";
import type { WatchOutcome } from "../WatchOutcome.js";

/** The platform's object API. No method rejects; failures are returned as outcomes. */
export interface ObjectStore {
    /** Reads one object. */
    read(key: ObjectKey, callClass: CallClass): Promise<ReadOutcome>;

    /** Reads all objects of the kinds. */
    list(kinds: readonly string[], callClass: CallClass): Promise<ListOutcome>;

    /**
     * Writes `value` if the object's revision is `expected`; 0 means "absent". The call is not sent if `era`, in which
     * the revision was read, is known to have ended.
     */
    write(key: ObjectKey, value: unknown, expected: Revision, callClass: CallClass, era?: Era): Promise<UpdateOutcome>;

    /** Removes the object if its revision is `expected`. The call is not sent if `era` is known to have ended. */
    remove(key: ObjectKey, expected: Revision, callClass: CallClass, era?: Era): Promise<UpdateOutcome>;

    /**
     * Waits up to `waitMs` for changes to objects of the kinds after revision `after`. Returns `compacted` if `era`, to
     * which that revision belongs, has ended.
     */
    watch(
        kinds: readonly string[],
        after: Revision,
        waitMs: number,
        signal: AbortSignal,
        era?: Era,
    ): Promise<WatchOutcome>;
}
