import type { Era, ObjectChange, Revision, StoredObject, WatchOutcome } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";
import { latestChanges } from "./util/latestChanges.js";

interface RecordedChange {
    change: ObjectChange;
    /** Revision that the cache reflected after the change. */
    asOf: Revision;
}

/** How old the cached view is, and from which age on it must not be read by others. */
interface ViewAge {
    ageMs: () => number;
    maxAgeMs: () => number;
}

/** Maximum number of changes kept for followers; covers many seconds in a large fleet. */
const HISTORY_LENGTH = 2000;

const AGELESS: ViewAge = { ageMs: () => 0, maxAgeMs: () => Infinity };
const UNAVAILABLE = { kind: "unavailable", retryAfterMs: 100 } as const;

/**
 * Caches one kind of object from this gateway's own watch, for gateways that follow this gateway instead of the store.
 */
export class WatchCache {
    private readonly objects = new Map<string, StoredObject>();
    private history: RecordedChange[] = [];
    private pending: ObjectChange[] = [];
    private revision: Revision | undefined;
    private era: Era | undefined;
    private compactedRevision: Revision = 0;
    private waiters = new Set<() => void>();

    private constructor(
        private readonly clock: Clock,
        private readonly isSourceResponding: () => boolean,
        private readonly age: ViewAge,
    ) {}

    /**
     * Creates an empty cache. It is unavailable while its source does not respond or has not confirmed the view for too
     * long, so that followers turn to the store itself.
     */
    static create(clock: Clock, isSourceResponding: () => boolean, age: ViewAge = AGELESS): WatchCache {
        return new WatchCache(clock, isSourceResponding, age);
    }

    /** Time since the source has confirmed the view. */
    get ageMs(): number {
        return this.age.ageMs();
    }

    /** Replaces all objects by those of a listing from an era. */
    applyListing(objects: readonly StoredObject[], era?: Era): void {
        this.era = era;
        this.objects.clear();
        objects.forEach(object => this.objects.set(object.name, object));
        this.history = [];
        this.pending = [];
        this.compactedRevision = Infinity;
    }

    /** Applies a change. Followers see it after the next `advance`. */
    applyChange(change: ObjectChange): void {
        this.pending.push(change);
        if (change.kind === "written") {
            this.objects.set(change.object.name, change.object);
        }
        else {
            this.objects.delete(change.object.name);
        }
    }

    /** Records that the cache reflects a revision, and wakes waiting followers. */
    advance(revision: Revision): void {
        this.history.push(...this.pending.map(change => ({ change, asOf: revision })));
        this.pending = [];
        this.revision = revision;
        if (this.compactedRevision === Infinity) {
            this.compactedRevision = revision;
        }
        while (this.history.length > HISTORY_LENGTH) {
            this.compactedRevision = this.history.shift()?.asOf ?? this.compactedRevision;
        }
        this.waiters.forEach(wake => wake());
    }

    /** Wakes waiting followers, so that they notice at once that the view is no longer current. */
    interrupt(): void {
        this.waiters.forEach(wake => wake());
    }

    /** Returns the last known objects. `isCurrent` is false while they are not kept up to date by the store. */
    list(): { objects: StoredObject[]; revision: Revision; era?: Era; isCurrent: boolean; } {
        return {
            objects: [...this.objects.values()],
            revision: this.revision ?? 0,
            ...(this.era !== undefined && { era: this.era }),
            isCurrent: this.revision !== undefined && this.isCurrent(),
        };
    }

    /** Waits up to `waitMs` for changes after the revision `after` of an era. */
    async watch(after: Revision, waitMs: number, signal: AbortSignal, era: Era = 0): Promise<WatchOutcome> {
        const deadlineMs = this.clock.monotonicMs() + waitMs;
        for (;;) {
            const ownEra = this.era ?? 0;
            if (this.revision === undefined || !this.isCurrent() || ownEra < era) {
                return UNAVAILABLE;
            }
            const eraField = this.era === undefined ? {} : { era: this.era };
            if (after < this.compactedRevision || ownEra > era) {
                return { kind: "compacted", ...eraField };
            }
            const changes = latestChanges(
                this.history.filter(({ asOf }) => asOf > after).map(({ change }) => change),
            );
            const remainingMs = deadlineMs - this.clock.monotonicMs();
            if (changes.length > 0 || remainingMs <= 0 || signal.aborted) {
                return { kind: "changed", changes, revision: Math.max(after, this.revision), ...eraField };
            }
            const untilTooOldMs = Math.max(0, this.age.maxAgeMs() - this.ageMs);
            await this.waitForAdvance(Math.min(remainingMs, untilTooOldMs), signal);
        }
    }

    private isCurrent(): boolean {
        return this.isSourceResponding() && this.ageMs < this.age.maxAgeMs();
    }

    private async waitForAdvance(waitMs: number, signal: AbortSignal): Promise<void> {
        const wakeController = new AbortController();
        const wake = () => wakeController.abort();
        this.waiters.add(wake);
        await this.clock.sleep(waitMs, AbortSignal.any([signal, wakeController.signal]));
        this.waiters.delete(wake);
    }
}
