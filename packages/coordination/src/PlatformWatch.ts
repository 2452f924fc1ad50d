import type { ListOutcome, ObjectChange, ObjectStore, Revision, WatchOutcome } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { EventRecorder, Logger } from "@fescuehaven/telemetry";
import type { ConfigurationState } from "./ConfigurationState.js";
import { Backoff } from "./util/Backoff.js";
import { withDeadline } from "./util/withDeadline.js";

/** Longest time that the platform holds one watch open. */
const WATCH_WAIT_MS = 5000;
/** A watch that is silent for this long after its wait is abandoned and opened again. */
const WATCH_GRACE_MS = 1000;
/** Longest wait for a listing. */
const LIST_TIMEOUT_MS = 5000;
/** Relists after a compaction are spread over this time. */
const RELIST_JITTER_MS = 1000;
/** Backoff after failures. */
const BACKOFF_FIRST_MS = 200;
const BACKOFF_MAX_MS = 4000;
/** The platform counts as unavailable after this many consecutive failures. */
const FAILURES_TO_UNAVAILABLE = 3;

interface PlatformWatchOptions {
    store: ObjectStore;
    state: ConfigurationState;
    kinds: readonly string[];
    clock: Clock;
    random: Random;
    logger: Logger;
    events: EventRecorder;
}

/** Applies the platform's changes to the configuration: first a listing, then consecutive watches. */
export class PlatformWatch {
    private readonly backoff: Backoff;
    private failures = 0;
    /** Revision from which the next watch continues; undefined if a listing is needed first. */
    private cursor: Revision | undefined;

    private constructor(private readonly options: PlatformWatchOptions) {
        this.backoff = Backoff.create({
            random: options.random,
            firstMs: BACKOFF_FIRST_MS,
            maxMs: BACKOFF_MAX_MS,
        });
    }

    /** Creates the watch; it does nothing until `run`. */
    static create(options: PlatformWatchOptions): PlatformWatch {
        return new PlatformWatch(options);
    }

    /** False after several consecutive failures. */
    get available(): boolean {
        return this.failures < FAILURES_TO_UNAVAILABLE;
    }

    /** Lists and watches until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const waitMs = this.cursor === undefined ? await this.list(signal) : await this.watch(this.cursor, signal);
            if (waitMs > 0) {
                await this.options.clock.sleep(waitMs, signal);
            }
        }
    }

    private async list(signal: AbortSignal): Promise<number> {
        const { clock, store, kinds } = this.options;
        const outcome = await withDeadline(clock, LIST_TIMEOUT_MS, signal, () => store.list(kinds, "read"));
        if (outcome?.kind !== "listed") {
            return this.recordFailure(outcome?.retryAfterMs ?? 0, signal);
        }
        this.recordSuccess();
        this.applyListing(outcome);
        return 0;
    }

    /**
     * Applies a listing. If it is behind the state known here, its objects are offered, but missing ones are not
     * removed.
     */
    private applyListing(listing: ListOutcome & { kind: "listed"; }): void {
        const { events, logger, state } = this.options;
        const behind = listing.revision < state.coveredRevision;
        listing.objects.forEach(object => state.adopt(object, "platform", !behind));
        if (behind) {
            events.record({
                kind: "configuration-refused",
                object: "listing",
                revision: listing.revision,
                reason: "platform: behind what is in force",
            });
            logger.warn(
                `Platform listing at ${listing.revision} is behind ${state.coveredRevision}; keeping newer objects.`,
            );
        }
        else {
            const present = new Set(listing.objects.map(object => `${object.kind}/${object.name}`));
            state.applyCompleteState(listing.revision, key => present.has(`${key.kind}/${key.name}`), "platform");
        }
        this.cursor = listing.revision;
    }

    private async watch(cursor: Revision, signal: AbortSignal): Promise<number> {
        const { clock, store, kinds, logger } = this.options;
        const outcome = await withDeadline(
            clock,
            WATCH_WAIT_MS + WATCH_GRACE_MS,
            signal,
            attempt => store.watch(kinds, cursor, WATCH_WAIT_MS, attempt),
        );
        if (!outcome) {
            logger.warn("Platform watch timed out; opening a new one.");
            return this.recordFailure(0, signal);
        }
        return this.handlers[outcome.kind](outcome as never, signal);
    }

    private readonly handlers: {
        [K in WatchOutcome["kind"]]: (outcome: WatchOutcome & { kind: K; }, signal: AbortSignal) => number;
    } = {
        changed: outcome => this.applyChanges(outcome.changes, outcome.revision),
        compacted: () => this.relist(),
        unavailable: (outcome, signal) => this.recordFailure(outcome.retryAfterMs, signal),
    };

    private applyChanges(changes: readonly ObjectChange[], revision: Revision): number {
        const { state } = this.options;
        this.recordSuccess();
        for (const change of changes) {
            if (change.kind === "written") {
                state.adopt(change.object, "platform");
            }
            else {
                state.remove(change.object, change.object.revision, "platform");
            }
        }
        state.advanceCoveredRevision(revision);
        this.cursor = revision;
        return 0;
    }

    private relist(): number {
        this.cursor = undefined;
        this.options.logger.info("Watch history was compacted; listing again.");
        return this.options.random.next() * RELIST_JITTER_MS;
    }

    private recordFailure(retryAfterMs: number, signal: AbortSignal): number {
        if (signal.aborted) {
            return 0;
        }
        this.failures += 1;
        if (this.failures === FAILURES_TO_UNAVAILABLE) {
            this.options.events.record({ kind: "platform-unavailable", count: this.failures });
            this.options.logger.warn("Platform is unavailable; continuing with the active configuration.");
        }
        return Math.max(retryAfterMs, this.backoff.nextMs());
    }

    private recordSuccess(): void {
        if (!this.available) {
            this.options.events.record({ kind: "platform-available" });
            this.options.logger.info("Platform is available again.");
        }
        this.failures = 0;
        this.backoff.reset();
    }
}
