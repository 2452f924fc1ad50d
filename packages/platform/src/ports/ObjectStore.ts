import type { CallClass } from "../CallClass.js";
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

    /** Writes `value` if the object's revision is `expected`; 0 means "absent". */
    write(key: ObjectKey, value: unknown, expected: Revision, callClass: CallClass): Promise<UpdateOutcome>;

    /** Removes the object if its revision is `expected`. */
    remove(key: ObjectKey, expected: Revision, callClass: CallClass): Promise<UpdateOutcome>;

    /** Waits up to `waitMs` for changes to objects of the kinds after revision `after`. */
    watch(kinds: readonly string[], after: Revision, waitMs: number, signal: AbortSignal): Promise<WatchOutcome>;
}
