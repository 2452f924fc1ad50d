import type {
    CallClass,
    Era,
    ListOutcome,
    ObjectChange,
    ObjectKey,
    ObjectStore,
    ReadOutcome,
    Revision,
    StoredObject,
    UpdateOutcome,
    WatchOutcome,
} from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";
import type { StoreFaults } from "./StoreFaults.js";

/** Number of changes that the store keeps for watches. */
const HISTORY_LENGTH = 10_000;

/** State of the store at one moment. */
interface StoreCopy {
    revision: Revision;
    objects: Map<string, StoredObject>;
    history: ObjectChange[];
    compactedRevision: Revision;
}

const UNAVAILABLE = { kind: "unavailable", retryAfterMs: 100 } as const;

/** The platform's object API in memory, with faults that tests switch on. The platform stand-in uses it too. */
export class MemoryObjectStore implements ObjectStore {
    /** The active faults; tests may change them at any time. */
    readonly faults: StoreFaults = {
        outage: false,
        loseNextAnswers: 0,
        loseNextWrites: 0,
        delayMs: 0,
        silentWatches: false,
    };
    /** Number of calls so far, by method. */
    readonly calls = { read: 0, list: 0, write: 0, remove: 0, watch: 0 };

    private revision: Revision = 0;
    private currentEra: Era = 0;
    private objects = new Map<string, StoredObject>();
    private history: ObjectChange[] = [];
    private compactedRevision: Revision = 0;
    private waiters: Array<() => void> = [];

    private constructor(private readonly clock: Clock) {}

    /** Creates an empty store. */
    static create(clock: Clock): MemoryObjectStore {
        return new MemoryObjectStore(clock);
    }

    /** Number of times that the store was restored from a copy. */
    get era(): Era {
        return this.currentEra;
    }

    /** Reads one object. */
    async read(key: ObjectKey): Promise<ReadOutcome> {
        this.calls.read += 1;
        await this.applyDelay();
        if (this.faults.outage) {
            return UNAVAILABLE;
        }
        const object = this.objects.get(idOf(key));
        return object
            ? { kind: "found", object: structuredClone(object), ...this.eraField }
            : { kind: "absent", ...this.eraField };
    }

    /** Reads all objects of the kinds. */
    async list(kinds: readonly string[]): Promise<ListOutcome> {
        this.calls.list += 1;
        await this.applyDelay();
        if (this.faults.outage) {
            return UNAVAILABLE;
        }
        const objects = [...this.objects.values()].filter(object => kinds.includes(object.kind));
        return { kind: "listed", objects: structuredClone(objects), revision: this.revision, ...this.eraField };
    }

    /** Writes `value` if the object's revision is `expected`; 0 means that the object doesn't exist. */
    async write(
        key: ObjectKey,
        value: unknown,
        expected: Revision,
        _callClass?: CallClass,
        era?: Era,
    ): Promise<UpdateOutcome> {
        if (this.hasEnded(era)) {
            return UNAVAILABLE;
        }
        this.calls.write += 1;
        return this.update(key, expected, () => {
            const object = { ...key, revision: this.revision, value: structuredClone(value) };
            this.objects.set(idOf(key), object);
            return { kind: "written", object };
        });
    }

    /** Removes the object if its revision is `expected`. */
    async remove(
        key: ObjectKey,
        expected: Revision,
        _callClass?: CallClass,
        era?: Era,
    ): Promise<UpdateOutcome> {
        if (this.hasEnded(era)) {
            return UNAVAILABLE;
        }
        this.calls.remove += 1;
        return this.update(key, expected, () => {
            this.objects.delete(idOf(key));
            return { kind: "removed", object: { ...key, revision: this.revision } };
        });
    }

    /** Waits up to `waitMs` for changes of the kinds after the revision `after`. */
    async watch(
        kinds: readonly string[],
        after: Revision,
        waitMs: number,
        signal: AbortSignal,
        era?: Era,
    ): Promise<WatchOutcome> {
        if (this.hasEnded(era)) {
            return { kind: "compacted", ...this.eraField };
        }
        this.calls.watch += 1;
        await this.applyDelay();
        if (this.faults.silentWatches) {
            await new Promise<void>(resolve => signal.addEventListener("abort", () => resolve(), { once: true }));
        }
        if (this.faults.outage) {
            return UNAVAILABLE;
        }
        const deadlineMs = this.clock.monotonicMs() + waitMs;
        const eraBefore = this.era;
        for (;;) {
            if (after < this.compactedRevision || after > this.revision) {
                return { kind: "compacted", ...this.eraField };
            }
            const changes = this.history.filter(change =>
                change.object.revision > after && kinds.includes(change.object.kind)
            );
            if (changes.length > 0 || this.clock.monotonicMs() >= deadlineMs || signal.aborted) {
                return {
                    kind: "changed",
                    changes: structuredClone(changes),
                    revision: this.revision,
                    ...this.eraField,
                };
            }
            await this.nextChange(deadlineMs - this.clock.monotonicMs(), signal);
            if (this.faults.outage || this.era !== eraBefore) {
                return UNAVAILABLE;
            }
        }
    }

    /** Removes the history of changes, so that watches from earlier revisions return `compacted`. */
    compact(): void {
        this.history = [];
        this.compactedRevision = this.revision;
    }

    /** Returns a copy from which the store can be restored later. */
    copy(): StoreCopy {
        const { revision, compactedRevision } = this;
        return { revision, objects: new Map(this.objects), history: [...this.history], compactedRevision };
    }

    /** Loses everything that was written since the copy. Its revisions are assigned again; waiting watches fail. Starts an era. */
    restore(copy: StoreCopy): void {
        this.currentEra += 1;
        this.revision = copy.revision;
        this.objects = new Map(copy.objects);
        this.history = [...copy.history];
        this.compactedRevision = copy.compactedRevision;
        this.wakeWaiters();
    }

    /** Returns the current object regardless of faults and without counting a call; for assertions. */
    peek(kind: string, name: string): StoredObject | undefined {
        return this.objects.get(idOf({ kind, name }));
    }

    private async update(key: ObjectKey, expected: Revision, apply: () => ObjectChange): Promise<UpdateOutcome> {
        await this.applyDelay();
        if (this.faults.outage) {
            return UNAVAILABLE;
        }
        if (this.faults.loseNextWrites > 0) {
            this.faults.loseNextWrites -= 1;
            return { kind: "unknown" };
        }
        const current = this.objects.get(idOf(key))?.revision ?? 0;
        if (current !== expected) {
            return { kind: "conflict", current, ...this.eraField };
        }
        this.revision += 1;
        this.appendToHistory(apply());
        if (this.faults.loseNextAnswers > 0) {
            this.faults.loseNextAnswers -= 1;
            return { kind: "unknown" };
        }
        return { kind: "committed", revision: this.revision, ...this.eraField };
    }

    /** The era as a part of an outcome; outcomes of a store that was never restored have none. */
    private get eraField(): { era?: Era; } {
        return this.era === 0 ? {} : { era: this.era };
    }

    /** Returns true if the caller is behind: a client that knows the current era does not send such calls. */
    private hasEnded(era: Era | undefined): boolean {
        return era !== undefined && era < this.era;
    }

    private appendToHistory(change: ObjectChange): void {
        this.history.push(change);
        if (this.history.length > HISTORY_LENGTH) {
            const dropped = this.history.shift();
            this.compactedRevision = dropped?.object.revision ?? this.compactedRevision;
        }
        this.wakeWaiters();
    }

    private wakeWaiters(): void {
        const woken = this.waiters;
        this.waiters = [];
        woken.forEach(wake => wake());
    }

    private async nextChange(waitMs: number, signal: AbortSignal): Promise<void> {
        const timeout = new AbortController();
        const abort = () => timeout.abort();
        signal.addEventListener("abort", abort, { once: true });
        this.waiters.push(abort);
        await this.clock.sleep(waitMs, timeout.signal);
        signal.removeEventListener("abort", abort);
        this.waiters = this.waiters.filter(waiter => waiter !== abort);
    }

    private async applyDelay(): Promise<void> {
        if (this.faults.delayMs > 0) {
            await this.clock.sleep(this.faults.delayMs);
        }
    }
}

function idOf(key: ObjectKey): string {
    return `${key.kind}/${key.name}`;
}
