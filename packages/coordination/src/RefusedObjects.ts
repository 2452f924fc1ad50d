import type { ObjectKey, Revision } from "@fescuehaven/platform";
import type { DigestEntry } from "./DigestEntry.js";

/**
 * Objects that exist in the store, but whose newest value is invalid. Their older values may still be adopted from
 * peers, and a process that lacks them must not be mistaken for one that knows them to be removed.
 */
export class RefusedObjects {
    private readonly entries = new Map<string, DigestEntry>();

    private constructor() {}

    /** Creates an empty set. */
    static create(): RefusedObjects {
        return new RefusedObjects();
    }

    /** Returns all refused objects. */
    list(): DigestEntry[] {
        return [...this.entries.values()];
    }

    /** Returns the refused revision of an object; 0 if there is none. */
    revisionOf(key: ObjectKey): Revision {
        return this.entries.get(idOf(key))?.revision ?? 0;
    }

    /** Records a refused revision. Returns false if one at least as new was already recorded. */
    record(key: ObjectKey, revision: Revision): boolean {
        if (revision <= this.revisionOf(key)) {
            return false;
        }
        this.entries.set(idOf(key), { kind: key.kind, name: key.name, revision, deleted: false });
        return true;
    }

    /** Removes an object whose refused revision is not newer than `revision`. */
    clear(key: ObjectKey, revision: Revision): void {
        if (this.revisionOf(key) <= revision) {
            this.entries.delete(idOf(key));
        }
    }
}

function idOf(key: ObjectKey): string {
    return `${key.kind}/${key.name}`;
}
