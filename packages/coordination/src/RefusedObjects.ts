import type { ObjectKey, Revision } from "@fescuehaven/platform";
import type { DigestEntry } from "./DigestEntry.js";

/**
 * Objects that exist in the store, but whose newest value does not validate. Older values of them may still be taken
 * from peers, and a process without them must not be taken for one that knows them to be removed.
 */
export class RefusedObjects {
    private readonly entries = new Map<string, DigestEntry>();

    private constructor() {}

    /** Creates an empty set. */
    static create(): RefusedObjects {
        return new RefusedObjects();
    }

    /** All of them. */
    list(): DigestEntry[] {
        return [...this.entries.values()];
    }

    /** The refused revision of an object; 0 when none is refused. */
    revisionOf(key: ObjectKey): Revision {
        return this.entries.get(idOf(key))?.revision ?? 0;
    }

    /** Notes a refused revision. False: as new a one was known. */
    note(key: ObjectKey, revision: Revision): boolean {
        if (revision <= this.revisionOf(key)) {
            return false;
        }
        this.entries.set(idOf(key), { kind: key.kind, name: key.name, revision, deleted: false });
        return true;
    }

    /** Forgets an object whose refused revision is no newer than `revision`. */
    settle(key: ObjectKey, revision: Revision): void {
        if (this.revisionOf(key) <= revision) {
            this.entries.delete(idOf(key));
        }
    }
}

function idOf(key: ObjectKey): string {
    return `${key.kind}/${key.name}`;
}
