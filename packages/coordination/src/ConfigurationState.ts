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
 * Removals that are remembered. Older ones are dropped, but only up to the covered revision, under which an
 * unknown object is known to be removed; so no dropped removal can let its object come back.
 */
const MAX_TOMBSTONES = 1000;

const OLDER = { kind: "older" } as const;
const ADOPTED = { kind: "adopted" } as const;

interface Entry extends DigestEntry {
    object: StoredObject | undefined;
    since: Date;
    /** `version` of the state that this entry brought. */
    version: number;
}

/** Options of `ConfigurationState`. */
interface ConfigurationStateOptions {
    kinds: readonly ResourceKind[];
    clock: Clock;
    events: EventRecorder;
}

/**
 * The objects in force in one process, and the rules by which one replaces another. A revision in force is never
 * replaced by a lower one, whoever offers it.
 */
export class ConfigurationState {
    /** Hashes of `digest()`. */
    readonly hash = DigestHash.create();
    /** Notified whenever `version` changes. */
    readonly changes = ChangeNotifier.create();

    private readonly entries = new Map<string, Entry>();
    private readonly byKind = new Map<string, Map<string, StoredObject>>();
    private readonly refusals = RefusedObjects.create();
    private tombstoneCount = 0;
    private covered: Revision = 0;
    private whole = false;
    private changeCount = 0;

    private constructor(private readonly options: ConfigurationStateOptions) {
        options.kinds.forEach(kind => this.byKind.set(kind, new Map()));
    }

    /** Creates an empty state. */
    static create(options: ConfigurationStateOptions): ConfigurationState {
        return new ConfigurationState(options);
    }

    /** Changes with every adopted object or removal. */
    get version(): number {
        return this.changeCount;
    }

    /** True once a whole listing was taken in. */
    get complete(): boolean {
        return this.whole;
    }

    /** The whole state of the store up to this revision is known here, but for refused objects. */
    get coveredRevision(): Revision {
        return this.covered;
    }

    /** The object in force, or undefined. */
    get(kind: string, name: string): StoredObject | undefined {
        return this.byKind.get(kind)?.get(name);
    }

    /** All objects of a kind in force, by name. */
    list(kind: string): StoredObject[] {
        const objects = [...this.byKind.get(kind)?.values() ?? []];
        return objects.sort((a, b) => a.name < b.name ? -1 : 1);
    }

    /** Since when what is held of an object is in force, or undefined when nothing ever was. */
    activeRevision(key: ObjectKey): ActiveRevision | undefined {
        const entry = this.entries.get(idOf(key));
        return entry && { revision: entry.revision, deleted: entry.deleted, since: entry.since };
    }

    /** What is held: objects and remembered removals. */
    digest(): DigestEntry[] {
        return [...this.entries.values()].map(toDigestEntry);
    }

    /** The part of the digest in the named buckets. */
    digestOf(buckets: ReadonlySet<number>): DigestEntry[] {
        return this.digest().filter(entry => buckets.has(this.hash.bucketOf(idOf(entry))));
    }

    /** What was adopted after `version`. */
    digestSince(version: number): DigestEntry[] {
        return [...this.entries.values()].filter(entry => entry.version > version).map(toDigestEntry);
    }

    /** Revision held of an object; 0 when none is. */
    revisionOf(key: ObjectKey): Revision {
        return this.entries.get(idOf(key))?.revision ?? 0;
    }

    /** Objects that exist but whose newest value did not validate. */
    refused(): DigestEntry[] {
        return this.refusals.list();
    }

    /** Notes that a peer refused an object, which therefore exists: older values of it may be taken from others. */
    noteRefused(entry: DigestEntry): void {
        if (entry.revision > this.revisionOf(entry) && this.byKind.has(entry.kind)) {
            this.refusals.note(entry, entry.revision);
        }
    }

    /** Offers an object. `listed`: a whole listing that is not behind holds it, so it was not removed before. */
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
        this.put({ ...keyOf(object), revision: object.revision, deleted: false, object: checked.object });
        this.record(object, source);
        return ADOPTED;
    }

    /** Offers a removal at a revision. */
    remove(key: ObjectKey, revision: Revision, source: string): AdoptOutcome {
        const entry = this.entries.get(idOf(key));
        if (revision <= (entry?.revision ?? 0) || !this.byKind.has(key.kind)) {
            return OLDER;
        }
        if (!entry && revision <= this.covered && this.tombstoneCount >= MAX_TOMBSTONES) {
            return OLDER;
        }
        this.put({ ...keyOf(key), revision, deleted: true, object: undefined });
        if (entry && !entry.deleted) {
            this.record({ ...key, revision }, `${source}-removed`);
        }
        this.dropOldTombstones();
        return ADOPTED;
    }

    /**
     * Takes in the word of a process or store that knows the whole state up to `revision`: what it does not hold
     * and is not newer has been removed. `present` names everything it holds, refused objects included.
     */
    cover(revision: Revision, present: (key: ObjectKey) => boolean, source: string): void {
        const vanished = [...this.entries.values()].filter(entry => !entry.deleted && !present(entry));
        vanished.forEach(entry => this.remove(entry, revision, source));
        this.refusals.list().filter(entry => !present(entry)).forEach(entry => this.refusals.settle(entry, revision));
        this.advance(revision);
    }

    /** Notes that the whole state up to `revision` is known here. */
    advance(revision: Revision): void {
        this.covered = Math.max(this.covered, revision);
        if (!this.whole) {
            this.whole = true;
            this.changeCount += 1;
            this.changes.notify();
        }
    }

    private isKnownRemoved(object: StoredObject): boolean {
        return object.revision <= this.covered && object.revision > this.refusals.revisionOf(object);
    }

    private refuse(object: StoredObject, reason: string, source: string): void {
        if (!this.byKind.has(object.kind) || !this.refusals.note(object, object.revision)) {
            return;
        }
        this.options.events.record({
            kind: "configuration-refused",
            object: idOf(object),
            revision: object.revision,
            reason: `${source}: ${reason}`,
        });
    }

    private put(next: Omit<Entry, "since" | "version">): void {
        const id = idOf(next);
        this.forget(id);
        this.changeCount += 1;
        this.entries.set(id, { ...next, since: this.options.clock.now(), version: this.changeCount });
        this.hash.toggle(id, next.revision, next.deleted);
        this.tombstoneCount += next.deleted ? 1 : 0;
        if (next.object) {
            this.byKind.get(next.kind)?.set(next.name, next.object);
        }
        this.refusals.settle(next, next.revision);
        this.changes.notify();
    }

    private forget(id: string): void {
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
            .filter(entry => entry.deleted && entry.revision <= this.covered)
            .sort((a, b) => a.revision - b.revision)
            .slice(0, this.tombstoneCount - MAX_TOMBSTONES);
        oldest.forEach(entry => this.forget(idOf(entry)));
    }

    private record(object: ObjectKey & { revision: Revision; }, source: string): void {
        if (this.whole) {
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
