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
    /** Maximum wait of one watch call. It bounds the time until a silent connection is detected. */
    waitMs: () => number;
    /** Pause before the watch is renewed, so that one response contains several changes. */
    pauseMs: () => number;
    /** Called with all objects of the kind. After an outage, objects may be missing that are written again soon. */
    onListing: (objects: readonly StoredObject[], isAfterOutage: boolean) => void;
    onChange: (change: ObjectChange) => void;
    /** Called when all changes up to this revision of the store have been delivered. */
    onRevision?: (revision: Revision) => void;
    /** Called when a call to the store has failed. */
    onFailure?: () => void;
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
    private cursor: Revision | undefined;
    private lastResponseAtMs = -Infinity;

    private constructor(private readonly options: StoreWatchOptions) {
        this.backoff = Backoff.create({ random: options.random, firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS });
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
            return this.recordFailure(outcome.retryAfterMs, "list");
        }
        const isAfterOutage = this.failures >= DISCONNECTED_AFTER_FAILURES;
        this.recordSuccess();
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
            this.recordSuccess();
            outcome.changes.forEach(change => this.options.onChange(change));
            this.cursor = outcome.revision;
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
