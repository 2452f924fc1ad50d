import { Backoff } from "@fescuehaven/coordination";
import type { ObjectChange, ObjectStore, Revision, StoredObject, WatchOutcome } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { DecisionLog } from "./ports/DecisionLog.js";
import type { GatewayMetrics } from "./ports/GatewayMetrics.js";

interface StoreWatchOptions {
    store: ObjectStore;
    kind: string;
    clock: Clock;
    random: Random;
    log: DecisionLog;
    metrics: GatewayMetrics;
    /** Longest wait of one watch, ms. It bounds how long a connection that went silent goes unnoticed. */
    waitMs: () => number;
    /** Pause before a watch is renewed, ms, so that changes gather into one answer. */
    pauseMs: () => number;
    /** Takes all objects of the kind; `isAfterOutage`: objects may be missing that come back at once. */
    onListing: (objects: readonly StoredObject[], isAfterOutage: boolean) => void;
    onChange: (change: ObjectChange) => void;
    /** The view now reflects this revision of the store. */
    onRevision?: (revision: Revision) => void;
    /** A call to the store has failed. */
    onFailure?: () => void;
}

/** Waits after failures, ms: the first well under the shortest bound on a change, the longest under a second. */
const BACKOFF_FIRST_MS = 100;
const BACKOFF_MAX_MS = 800;
/** The store counts as lost after this many failures on end. */
const FAILURES_TO_LOST = 2;

/** Follows one kind of object in the store: a listing, then watches one after another. */
export class StoreWatch {
    private readonly backoff: Backoff;
    private failures = 0;
    private cursor: Revision | undefined;
    private heardAtMs = -Infinity;

    private constructor(private readonly options: StoreWatchOptions) {
        this.backoff = Backoff.create({ random: options.random, firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS });
    }

    /** Creates the watch; it does nothing until `run`. */
    static create(options: StoreWatchOptions): StoreWatch {
        return new StoreWatch(options);
    }

    /** True while the store answers. */
    get isInTouch(): boolean {
        return this.cursor !== undefined && this.failures < FAILURES_TO_LOST;
    }

    /** True if the store answered the last call. */
    get isAnswering(): boolean {
        return this.cursor !== undefined && this.failures === 0;
    }

    /** Time since the store last answered, ms. */
    get ageMs(): number {
        return this.options.clock.monotonicMs() - this.heardAtMs;
    }

    /** Lists and watches until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const pauseMs = this.cursor === undefined ? await this.list() : await this.watch(this.cursor, signal);
            if (pauseMs > 0) {
                await this.options.clock.sleep(pauseMs, signal);
            }
        }
    }

    private async list(): Promise<number> {
        const { store, kind, log } = this.options;
        const outcome = await store.list([kind], "read");
        if (outcome.kind !== "listed") {
            return this.fail(outcome.retryAfterMs, "list");
        }
        const isAfterOutage = this.failures >= FAILURES_TO_LOST;
        this.succeed();
        this.cursor = outcome.revision;
        log.info("listed store objects", {
            kind,
            count: outcome.objects.length,
            revision: outcome.revision,
            isAfterOutage,
        });
        this.options.onListing(outcome.objects, isAfterOutage);
        this.options.onRevision?.(outcome.revision);
        return 0;
    }

    private async watch(cursor: Revision, signal: AbortSignal): Promise<number> {
        const outcome = await this.options.store.watch([this.options.kind], cursor, this.options.waitMs(), signal);
        return this.handlers[outcome.kind](outcome as never);
    }

    private readonly handlers: { [K in WatchOutcome["kind"]]: (outcome: WatchOutcome & { kind: K; }) => number; } = {
        changed: outcome => {
            this.succeed();
            outcome.changes.forEach(change => this.options.onChange(change));
            this.cursor = outcome.revision;
            this.options.onRevision?.(outcome.revision);
            return this.options.pauseMs();
        },
        compacted: () => {
            this.options.log.warn("store history is gone; listing again", { kind: this.options.kind });
            this.cursor = undefined;
            return 0;
        },
        unavailable: outcome => this.fail(outcome.retryAfterMs, "watch"),
    };

    private fail(retryAfterMs: number, call: string): number {
        this.failures += 1;
        this.options.metrics.count("storeFailures", `${call} ${this.options.kind}`);
        this.options.onFailure?.();
        if (this.failures === FAILURES_TO_LOST) {
            this.options.log.warn("store lost; going on with the last view", {
                kind: this.options.kind,
                ageMs: Math.round(this.ageMs),
            });
            // Entries may lapse while the store is away, without an event.
            this.cursor = undefined;
        }
        return Math.max(retryAfterMs / 2, this.backoff.nextMs());
    }

    private succeed(): void {
        if (this.failures >= FAILURES_TO_LOST) {
            this.options.log.info("store regained", { kind: this.options.kind, ageMs: Math.round(this.ageMs) });
        }
        this.failures = 0;
        this.backoff.reset();
        this.heardAtMs = this.options.clock.monotonicMs();
    }
}
