import { Backoff } from "@fescuehaven/coordination";
import type {
    Era,
    ListOutcome,
    ObjectChange,
    ObjectStore,
    Revision,
    StoredObject,
    WatchOutcome,
} from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { DecisionLog } from "./ports/DecisionLog.js";
import type { GatewayMetrics } from "./ports/GatewayMetrics.js";
import type { StoreEras } from "./StoreEras.js";
import { latestChanges } from "./util/latestChanges.js";

interface StoreWatchOptions {
    store: ObjectStore;
    kind: string;
    clock: Clock;
    random: Random;
    log: DecisionLog;
    metrics: GatewayMetrics;
    eras: StoreEras;
    /** Maximum wait of one watch call. It bounds the time until a silent connection is detected. */
    waitMs: () => number;
    /** Pause before the watch is renewed, so that one response contains several changes. */
    pauseMs: () => number;
    /** Longest pause before all objects are listed again because the store was restored from an older copy. */
    maxRelistDelayMs: () => number;
    /**
     * Called with all objects of the kind. After an outage, objects may be missing that are written again soon; after a
     * restore from an older copy, others may be older than those known.
     */
    onListing: (objects: readonly StoredObject[], isAfterOutage: boolean, restore: Restore) => void;
    onChange: (change: ObjectChange) => void;
    /** Called when all changes up to this revision of the store have been delivered. */
    onRevision?: (revision: Revision) => void;
    /** Called when a call to the store has failed. */
    onFailure?: () => void;
}

/** Position of a watch in the store. */
interface Cursor {
    revision: Revision;
    era: Era;
}

/** Era of a listing, and whether the store was restored from an older copy since the listing before. */
interface Restore {
    era?: Era;
    isRestored: boolean;
}

/**
 * Waits after failures. The first is well below the shortest time in which a change must be active, the longest below
 * one second.
 */
const BACKOFF_FIRST_MS = 100;
const BACKOFF_MAX_MS = 800;
/** The store counts as disconnected after this many consecutive failures. */
const DISCONNECTED_AFTER_FAILURES = 2;

/** Follows one kind of object in the store: lists all objects, then makes one watch call after another. */
export class StoreWatch {
    private readonly backoff: Backoff;
    private failures = 0;
    private cursor: Cursor | undefined;
    /** Era of the last listing. */
    private listedEra: Era | undefined;
    /** Pause before the next listing. */
    private relistDelayMs = 0;
    /** Aborts the call or the pause in progress when the era rises. */
    private interruption = new AbortController();
    private lastResponseAtMs = -Infinity;

    private constructor(private readonly options: StoreWatchOptions) {
        this.backoff = Backoff.create({ random: options.random, firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS });
        options.eras.onRise(() => this.startRelisting());
    }

    /** Creates a watch. It does nothing until `run` is called. */
    static create(options: StoreWatchOptions): StoreWatch {
        return new StoreWatch(options);
    }

    /** True after a listing, until the store counts as disconnected. */
    get isConnected(): boolean {
        return this.cursor !== undefined && this.failures < DISCONNECTED_AFTER_FAILURES;
    }

    /** True after a listing, while the last call to the store succeeded. */
    get isResponding(): boolean {
        return this.cursor !== undefined && this.failures === 0;
    }

    /** Time since the last successful call to the store; Infinity before the first one. */
    get ageMs(): number {
        return this.options.clock.monotonicMs() - this.lastResponseAtMs;
    }

    /** Lists and watches objects until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.interruption = new AbortController();
            const limit = AbortSignal.any([signal, this.interruption.signal]);
            if (this.relistDelayMs > 0) {
                const delayMs = this.relistDelayMs;
                this.relistDelayMs = 0;
                await this.options.clock.sleep(delayMs, signal);
            }
            const pauseMs = this.cursor === undefined ? await this.list() : await this.watch(this.cursor, limit);
            if (pauseMs > 0) {
                await this.options.clock.sleep(pauseMs, limit);
            }
        }
    }

    /** Gives the cursor up, whose revision says nothing in the new era. */
    private startRelisting(): void {
        if (this.listedEra === undefined) {
            return;
        }
        this.cursor = undefined;
        this.relistDelayMs = this.options.random.next() * this.options.maxRelistDelayMs();
        this.options.onFailure?.();
        this.interruption.abort();
    }

    private async list(): Promise<number> {
        const { store, kind, eras } = this.options;
        const outcome = await store.list([kind], "read");
        if (outcome.kind !== "listed") {
            return this.recordFailure(outcome.retryAfterMs, "list");
        }
        eras.observe(outcome.era, outcome.revision);
        if ((outcome.era ?? 0) < eras.current) {
            // The response was given before the store was restored.
            return this.recordFailure(0, "list");
        }
        this.applyListing(outcome);
        return 0;
    }

    private applyListing({ objects, revision, era }: ListOutcome & { kind: "listed"; }): void {
        const { kind, log, eras } = this.options;
        const isRestored = this.listedEra !== undefined && this.listedEra < eras.current;
        const isAfterOutage = this.failures >= DISCONNECTED_AFTER_FAILURES || isRestored;
        this.recordSuccess();
        this.cursor = { revision, era: eras.current };
        this.listedEra = eras.current;
        this.relistDelayMs = 0;
        log.info("listed store objects", { kind, count: objects.length, revision, era, isAfterOutage });
        if (isRestored) {
            log.info("restored store was read again", { kind, era, afterMs: Math.round(eras.ageMs) });
            this.options.metrics.observe("restoredRead", eras.ageMs);
        }
        this.options.onListing(objects, isAfterOutage, { era, isRestored });
        this.options.onRevision?.(revision);
    }

    private async watch(cursor: Cursor, signal: AbortSignal): Promise<number> {
        const { store, kind, waitMs, eras } = this.options;
        const outcome = await store.watch([kind], cursor.revision, waitMs(), signal, cursor.era);
        if (outcome.kind !== "unavailable") {
            eras.observe(outcome.era, outcome.kind === "changed" ? outcome.revision : undefined);
        }
        // When the era rises during the call, the outcome belongs to the previous one.
        return this.cursor === cursor ? this.handlers[outcome.kind](outcome as never) : 0;
    }

    private readonly handlers: { [K in WatchOutcome["kind"]]: (outcome: WatchOutcome & { kind: K; }) => number; } = {
        changed: outcome => {
            this.recordSuccess();
            latestChanges(outcome.changes).forEach(change => this.options.onChange(change));
            this.cursor = { revision: outcome.revision, era: this.options.eras.current };
            this.options.onRevision?.(outcome.revision);
            return this.options.pauseMs();
        },
        compacted: () => {
            this.options.log.warn("store history was compacted; listing again", { kind: this.options.kind });
            this.cursor = undefined;
            return 0;
        },
        unavailable: outcome => this.recordFailure(outcome.retryAfterMs, "watch"),
    };

    private recordFailure(retryAfterMs: number, call: string): number {
        this.failures += 1;
        this.options.metrics.count("storeFailures", `${call} ${this.options.kind}`);
        this.options.onFailure?.();
        if (this.failures === DISCONNECTED_AFTER_FAILURES) {
            this.options.log.warn("store disconnected; continuing with the last known objects", {
                kind: this.options.kind,
                ageMs: Math.round(this.ageMs),
            });
            // Objects may expire while the store is unavailable, without a change event: list again.
            this.cursor = undefined;
        }
        return Math.max(retryAfterMs / 2, this.backoff.nextMs());
    }

    private recordSuccess(): void {
        if (this.failures >= DISCONNECTED_AFTER_FAILURES) {
            this.options.log.info("store reconnected", { kind: this.options.kind, ageMs: Math.round(this.ageMs) });
        }
        this.failures = 0;
        this.backoff.reset();
        this.lastResponseAtMs = this.options.clock.monotonicMs();
    }
}
