import type { ObjectKey, Revision, StoredObject } from "@fescuehaven/platform";
import type { ResourceKind } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder } from "@fescuehaven/telemetry";
import type { ActiveRevision } from "./ActiveRevision.js";
import type { AdoptOutcome } from "./AdoptOutcome.js";
import type { DigestEntry } from "./DigestEntry.js";
import { DigestHash } from "./DigestHash.js";
import { RefusedObjects } from "./RefusedObjects.js";
import { ChangeNotifier } from "./util/ChangeNotifier.js";
import { validateObject } from "./validateObject.js";

/**
 * Maximum number of tombstones. The oldest are dropped beyond it, but only up to the covered revision, below which an
 * unknown object is known to be removed. So no dropped tombstone can let its object come back.
 */
const MAX_TOMBSTONES = 1000;

const OLDER = { kind: "older" } as const;
const ADOPTED = { kind: "adopted" } as const;

interface Entry extends DigestEntry {
    object: StoredObject | undefined;
    since: Date;
    /** `version` of the state as of this entry. */
    version: number;
}

interface ConfigurationStateOptions {
    kinds: readonly ResourceKind[];
    clock: Clock;
    events: EventRecorder;
}

/**
 * The active configuration objects of a process, and the rules by which one revision replaces another. An active
 * revision is never replaced by a lower one, whatever its source.
 */
export class ConfigurationState {
    /** Hashes of `digest()`. */
    readonly hash = DigestHash.create();
    /** Notified whenever `version` changes. */
    readonly changes = ChangeNotifier.create();

    private readonly entries = new Map<string, Entry>();
    private readonly byKind = new Map<string, Map<string, StoredObject>>();
    private readonly refusedObjects = RefusedObjects.create();
    private tombstoneCount = 0;
    private coveredUpTo: Revision = 0;
    private hasCompleteListing = false;
    private changeCount = 0;

    private constructor(private readonly options: ConfigurationStateOptions) {
        options.kinds.forEach(kind => this.byKind.set(kind, new Map()));
    }

    /** Creates an empty state. */
    static create(options: ConfigurationStateOptions): ConfigurationState {
        return new ConfigurationState(options);
    }

    /** Increases with every adopted object or removal. */
    get version(): number {
        return this.changeCount;
    }

    /** True once a complete listing was applied. */
    get complete(): boolean {
        return this.hasCompleteListing;
    }

    /** The complete state of the store up to this revision is known here, except for refused objects. */
    get coveredRevision(): Revision {
        return this.coveredUpTo;
    }

    /** Returns the active object, or undefined. */
    get(kind: string, name: string): StoredObject | undefined {
        return this.byKind.get(kind)?.get(name);
    }

    /** Returns all active objects of a kind, sorted by name. */
    list(kind: string): StoredObject[] {
        const objects = [...this.byKind.get(kind)?.values() ?? []];
        return objects.sort((a, b) => a.name < b.name ? -1 : 1);
    }

    /** Returns the active revision of an object, or undefined if the process never had one. */
    activeRevision(key: ObjectKey): ActiveRevision | undefined {
        const entry = this.entries.get(idOf(key));
        return entry && { revision: entry.revision, deleted: entry.deleted, since: entry.since };
    }

    /** Returns an entry for every active object and every tombstone. */
    digest(): DigestEntry[] {
        return [...this.entries.values()].map(toDigestEntry);
    }

    /** Returns the entries of the digest in the given buckets. */
    digestOf(buckets: ReadonlySet<number>): DigestEntry[] {
        return this.digest().filter(entry => buckets.has(this.hash.bucketOf(idOf(entry))));
    }

    /** Returns the entries of the digest that were adopted after `version`. */
    digestSince(version: number): DigestEntry[] {
        return [...this.entries.values()].filter(entry => entry.version > version).map(toDigestEntry);
    }

    /** Returns the active revision of an object; 0 if there is none. */
    revisionOf(key: ObjectKey): Revision {
        return this.entries.get(idOf(key))?.revision ?? 0;
    }

    /** Returns objects that exist but whose newest value is invalid. */
    refused(): DigestEntry[] {
        return this.refusedObjects.list();
    }

    /**
     * Records that a peer refused an object, which therefore exists: its older values may be adopted from other peers.
     */
    recordRefused(entry: DigestEntry): void {
        if (entry.revision > this.revisionOf(entry) && this.byKind.has(entry.kind)) {
            this.refusedObjects.record(entry, entry.revision);
        }
    }

    /** Offers an object. `listed` is true if a complete, current listing contains it, so that it is not removed. */
    adopt(object: StoredObject, source: string, listed = false): AdoptOutcome {
        const id = idOf(object);
        const entry = this.entries.get(id);
        if (object.revision <= (entry?.revision ?? 0) || !listed && this.isKnownRemoved(object)) {
            return OLDER;
        }
        const checked = validateObject(object, this.options.kinds);
        if (checked.kind === "refused") {
            this.refuse(object, checked.reason, source);
            return checked;
        }
        this.setEntry({ ...keyOf(object), revision: object.revision, deleted: false, object: checked.object });
        this.recordAdopted(object, source);
        return ADOPTED;
    }

    /** Offers a removal at a revision. */
    remove(key: ObjectKey, revision: Revision, source: string): AdoptOutcome {
        const entry = this.entries.get(idOf(key));
        if (revision <= (entry?.revision ?? 0) || !this.byKind.has(key.kind)) {
            return OLDER;
        }
        if (!entry && revision <= this.coveredUpTo && this.tombstoneCount >= MAX_TOMBSTONES) {
            return OLDER;
        }
        this.setEntry({ ...keyOf(key), revision, deleted: true, object: undefined });
        if (entry && !entry.deleted) {
            this.recordAdopted({ ...key, revision }, `${source}-removed`);
        }
        this.dropOldTombstones();
        return ADOPTED;
    }

    /**
     * Applies the knowledge of a process or store that has the complete state up to `revision`: objects that it does
     * not have are removed unless they are newer. `isPresent` returns true for all its objects, including refused ones.
     */
    applyCompleteState(revision: Revision, isPresent: (key: ObjectKey) => boolean, source: string): void {
        const missing = [...this.entries.values()].filter(entry => !entry.deleted && !isPresent(entry));
        missing.forEach(entry => this.remove(entry, revision, source));
        this.refusedObjects.list().filter(entry => !isPresent(entry)).forEach(entry =>
            this.refusedObjects.clear(entry, revision)
        );
        this.advanceCoveredRevision(revision);
    }

    /** Records that the complete state up to `revision` is known here. */
    advanceCoveredRevision(revision: Revision): void {
        this.coveredUpTo = Math.max(this.coveredUpTo, revision);
        if (!this.hasCompleteListing) {
            this.hasCompleteListing = true;
            this.changeCount += 1;
            this.changes.notify();
        }
    }

    private isKnownRemoved(object: StoredObject): boolean {
        return object.revision <= this.coveredUpTo && object.revision > this.refusedObjects.revisionOf(object);
    }

    private refuse(object: StoredObject, reason: string, source: string): void {
        if (!this.byKind.has(object.kind) || !this.refusedObjects.record(object, object.revision)) {
            return;
        }
        this.options.events.record({
            kind: "configuration-refused",
            object: idOf(object),
            revision: object.revision,
            reason: `${source}: ${reason}`,
        });
    }

    private setEntry(next: Omit<Entry, "since" | "version">): void {
        const id = idOf(next);
        this.deleteEntry(id);
        this.changeCount += 1;
        this.entries.set(id, { ...next, since: this.options.clock.now(), version: this.changeCount });
        this.hash.toggle(id, next.revision, next.deleted);
        this.tombstoneCount += next.deleted ? 1 : 0;
        if (next.object) {
            this.byKind.get(next.kind)?.set(next.name, next.object);
        }
        this.refusedObjects.clear(next, next.revision);
        this.changes.notify();
    }

    private deleteEntry(id: string): void {
        const entry = this.entries.get(id);
        if (!entry) {
            return;
        }
        this.entries.delete(id);
        this.hash.toggle(id, entry.revision, entry.deleted);
        this.tombstoneCount -= entry.deleted ? 1 : 0;
        this.byKind.get(entry.kind)?.delete(entry.name);
    }

    private dropOldTombstones(): void {
        if (this.tombstoneCount <= MAX_TOMBSTONES) {
            return;
        }
        const oldest = [...this.entries.values()]
            .filter(entry => entry.deleted && entry.revision <= this.coveredUpTo)
            .sort((a, b) => a.revision - b.revision)
            .slice(0, this.tombstoneCount - MAX_TOMBSTONES);
        oldest.forEach(entry => this.deleteEntry(idOf(entry)));
    }

    private recordAdopted(object: ObjectKey & { revision: Revision; }, source: string): void {
        if (this.hasCompleteListing) {
            const { revision } = object;
            this.options.events.record({
                kind: "configuration-adopted",
                object: idOf(object),
                revision,
                reason: source,
            });
        }
    }
}

function idOf(key: ObjectKey): string {
    return `${key.kind}/${key.name}`;
}

function keyOf(key: ObjectKey): ObjectKey {
    return { kind: key.kind, name: key.name };
}

function toDigestEntry(entry: Entry): DigestEntry {
    return { ...keyOf(entry), revision: entry.revision, deleted: entry.deleted };
}
