import type { ObjectChange, Revision, StoredObject, WatchOutcome } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";

interface Remembered {
    change: ObjectChange;
    /** Revision of the store at which this view had the change. */
    asOf: Revision;
}

/** Changes that are remembered for followers: many seconds of a large fleet. */
const HISTORY_LENGTH = 2000;

const UNAVAILABLE = { kind: "unavailable", retryAfterMs: 100 } as const;

/** One kind of object as this gateway's own watch shows it, kept for gateways that follow it instead of the store. */
export class WatchCache {
    private readonly objects = new Map<string, StoredObject>();
    private history: Remembered[] = [];
    private pending: ObjectChange[] = [];
    private revision: Revision | undefined;
    private forgotten: Revision = 0;
    private waiters = new Set<() => void>();

    private constructor(private readonly clock: Clock, private readonly isAnswering: () => boolean) {}

    /** Creates an empty cache; it answers while the store does, so that followers ask the store in time. */
    static create(clock: Clock, isAnswering: () => boolean): WatchCache {
        return new WatchCache(clock, isAnswering);
    }

    /** Takes a listing of all objects. */
    applyListing(objects: readonly StoredObject[]): void {
        this.objects.clear();
        objects.forEach(object => this.objects.set(object.name, object));
        this.history = [];
        this.pending = [];
        this.forgotten = Infinity;
    }

    /** Takes a change. */
    applyChange(change: ObjectChange): void {
        this.pending.push(change);
        if (change.kind === "written") {
            this.objects.set(change.object.name, change.object);
        }
        else {
            this.objects.delete(change.object.name);
        }
    }

    /** The view reflects a revision now. */
    advance(revision: Revision): void {
        this.history.push(...this.pending.map(change => ({ change, asOf: revision })));
        this.pending = [];
        this.revision = revision;
        if (this.forgotten === Infinity) {
            this.forgotten = revision;
        }
        while (this.history.length > HISTORY_LENGTH) {
            this.forgotten = this.history.shift()?.asOf ?? this.forgotten;
        }
        this.waiters.forEach(wake => wake());
    }

    /** The store has failed to answer: followers are told at once. */
    interrupt(): void {
        this.waiters.forEach(wake => wake());
    }

    /** All objects as they were known last. */
    list(): { objects: StoredObject[]; revision: Revision; isCurrent: boolean; } {
        return {
            objects: [...this.objects.values()],
            revision: this.revision ?? 0,
            isCurrent: this.revision !== undefined && this.isAnswering(),
        };
    }

    /** Waits up to `waitMs` for changes after `after`. */
    async watch(after: Revision, waitMs: number, signal: AbortSignal): Promise<WatchOutcome> {
        const deadlineMs = this.clock.monotonicMs() + waitMs;
        for (;;) {
            if (this.revision === undefined || !this.isAnswering()) {
                return UNAVAILABLE;
            }
            if (after < this.forgotten) {
                return { kind: "compacted" };
            }
            const changes = this.history.filter(({ asOf }) => asOf > after).map(({ change }) => change);
            const remainingMs = deadlineMs - this.clock.monotonicMs();
            if (changes.length > 0 || remainingMs <= 0 || signal.aborted) {
                return { kind: "changed", changes, revision: Math.max(after, this.revision) };
            }
            await this.nextAdvance(remainingMs, signal);
        }
    }

    private async nextAdvance(waitMs: number, signal: AbortSignal): Promise<void> {
        const woken = new AbortController();
        const wake = () => woken.abort();
        this.waiters.add(wake);
        await this.clock.sleep(waitMs, AbortSignal.any([signal, woken.signal]));
        this.waiters.delete(wake);
    }
}
