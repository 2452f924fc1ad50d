import type { Era, ObjectStore, Revision } from "@fescuehaven/platform";
import { type JournalShard, journalShardSchema } from "@fescuehaven/resources";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { Logger, Metrics } from "@fescuehaven/telemetry";
import { Backoff } from "../util/Backoff.js";
import { applyOperation } from "./applyOperation.js";
import { fitShard } from "./fitShard.js";
import type { JournalEras } from "./JournalEras.js";
import type { JournalOperation } from "./JournalOperation.js";
import type { JournalSettings } from "./JournalSettings.js";
import type { OperationOf } from "./OperationOf.js";
import type { OperationOutcome } from "./OperationOutcome.js";

/** Object kind of journal shards in the platform. */
const SHARD_KIND = "journal-shard";
/** Backoff after a conflict or a failure. */
const BACKOFF_FIRST_MS = 10;
const BACKOFF_MAX_MS = 1000;
/** Retry-after delay if a shard is full or cannot be used. */
const FULL_RETRY_AFTER_MS = 1000;

/** Outcomes that must not be derived from a cached state of the shard. */
const PROVISIONAL_KINDS: ReadonlySet<string> = new Set([
    "held-by-other",
    "mismatched-request",
    "possibly-lost",
    "unavailable",
]);

type AnyOutcome = OperationOutcome[JournalOperation["kind"]];

interface ShardWriterOptions {
    /** Name of the shard. */
    shard: string;
    store: ObjectStore;
    eras: JournalEras;
    settings: JournalSettings;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
}

interface WaitingOperation {
    operation: JournalOperation;
    deadlineMs: number;
    /** An update with this operation was sent and its response lost: it may have taken effect or may still do so. */
    mayTakeEffect: boolean;
    resolve: (outcome: AnyOutcome) => void;
}

interface Snapshot {
    revision: Revision;
    /** Era of the revision. */
    era: Era;
    /** Records of calls that were issued before this time, in Unix milliseconds, may be missing. */
    lostBeforeMs: number;
    shard: JournalShard;
    /** True if the shard was read or written earlier: another writer may have changed it since. */
    cached: boolean;
}

/**
 * Writes one shard. All waiting operations go into one conditional update. An update whose response was lost is
 * resolved by reading the shard again: the claimants' ids in it show which operations took effect.
 */
export class ShardWriter {
    private waiting: WaitingOperation[] = [];
    private lastKnown: Omit<Snapshot, "cached"> | undefined;
    private running = false;
    /** Until this time claims are refused without calling the platform. */
    private refuseClaimsUntilMs = 0;
    private readonly backoff: Backoff;

    private constructor(private readonly options: ShardWriterOptions) {
        const { random } = options;
        this.backoff = Backoff.create({ random, firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS });
    }

    /** Creates a writer that has not read its shard yet. */
    static create(options: ShardWriterOptions): ShardWriter {
        return new ShardWriter(options);
    }

    /** True while no operation is in progress. */
    get idle(): boolean {
        return !this.running;
    }

    /** Performs an operation, or gives up after at most `timeoutMs` plus the duration of one platform call. */
    submit<K extends JournalOperation["kind"]>(
        operation: OperationOf<K>,
        timeoutMs: number,
    ): Promise<OperationOutcome[K]> {
        if (this.waiting.length >= this.options.settings.maxWaiting) {
            return Promise.resolve({ kind: "unavailable", retryAfterMs: FULL_RETRY_AFTER_MS });
        }
        const nowMs = this.options.clock.monotonicMs();
        if (operation.kind === "claim" && nowMs < this.refuseClaimsUntilMs) {
            return Promise.resolve({ kind: "unavailable", retryAfterMs: Math.ceil(this.refuseClaimsUntilMs - nowMs) });
        }
        const deadlineMs = nowMs + timeoutMs;
        return new Promise(resolve => {
            const resolveOutcome = resolve as (outcome: AnyOutcome) => void;
            this.waiting.push({ operation, deadlineMs, mayTakeEffect: false, resolve: resolveOutcome });
            if (!this.running) {
                this.running = true;
                void this.run();
            }
        });
    }

    private async run(): Promise<void> {
        while (this.waiting.length > 0) {
            const batch = this.waiting.splice(0, this.options.settings.maxBatch);
            const due = this.dropExpired(batch);
            const snapshot = due.length > 0 ? await this.snapshot(due) : undefined;
            if (snapshot) {
                await this.commit(due, snapshot);
            }
        }
        this.running = false;
    }

    /** Gives up operations whose deadline has passed and returns the others. */
    private dropExpired(batch: readonly WaitingOperation[]): WaitingOperation[] {
        const nowMs = this.options.clock.monotonicMs();
        batch.filter(item => item.deadlineMs <= nowMs).forEach(item => this.giveUp(item, 0));
        return batch.filter(item => item.deadlineMs > nowMs);
    }

    private giveUp(item: WaitingOperation, retryAfterMs: number): void {
        item.resolve(item.mayTakeEffect ? { kind: "unknown" } : { kind: "unavailable", retryAfterMs });
    }

    /** Returns the shard as last known or as read now. If reading fails, handles the batch and returns undefined. */
    private async snapshot(batch: WaitingOperation[]): Promise<Snapshot | undefined> {
        if (this.lastKnown) {
            return { ...this.lastKnown, cached: true };
        }
        const outcome = await this.options.store.read({ kind: SHARD_KIND, name: this.options.shard }, "journal");
        if (outcome.kind === "unavailable") {
            await this.handleUnavailable(batch, outcome.retryAfterMs);
            return undefined;
        }
        const { era = 0 } = outcome;
        const completeSinceMs = await this.options.eras.completeSinceMs(era);
        if (completeSinceMs === undefined) {
            await this.handleUnavailable(batch, 0);
            return undefined;
        }
        const context = { era, lostBeforeMs: completeSinceMs + this.options.settings.clockErrorMs, cached: false };
        if (outcome.kind === "absent") {
            return { ...context, revision: 0, shard: { records: {} } };
        }
        const parsed = journalShardSchema.safeParse(outcome.object.value);
        if (!parsed.success) {
            this.options.logger.error(`Shard ${this.options.shard} holds an invalid value; its calls are refused.`);
            batch.forEach(item => this.giveUp(item, FULL_RETRY_AFTER_MS));
            return undefined;
        }
        return { ...context, revision: outcome.object.revision, shard: parsed.data };
    }

    private async commit(batch: WaitingOperation[], snapshot: Snapshot): Promise<void> {
        const shard = { records: { ...snapshot.shard.records } };
        const { maxAnswerBytes, maxShardBytes } = this.options.settings;
        const { revision, era, lostBeforeMs } = snapshot;
        const applied = batch.map(item =>
            applyOperation<JournalOperation["kind"]>(shard.records, item.operation, { maxAnswerBytes, lostBeforeMs })
        );
        const resolveAll = () => batch.forEach((item, index) => item.resolve(applied[index]!.outcome));
        if (snapshot.cached && applied.some(result => PROVISIONAL_KINDS.has(result.outcome.kind))) {
            this.lastKnown = undefined;
            this.waiting.unshift(...batch);
            return;
        }
        if (!applied.some(result => result.changed)) {
            this.lastKnown = snapshot;
            resolveAll();
            return;
        }
        const claims = batch.filter(item => item.operation.kind === "claim");
        if (!fitShard(shard, maxShardBytes) && claims.length > 0) {
            this.options.logger.error(`Shard ${this.options.shard} is full; its calls are refused.`);
            claims.forEach(item => this.giveUp(item, FULL_RETRY_AFTER_MS));
            this.waiting.unshift(...batch.filter(item => !claims.includes(item)));
            return;
        }
        await this.write(batch, { revision, era, lostBeforeMs, shard }, resolveAll);
    }

    private async write(
        batch: WaitingOperation[],
        next: Omit<Snapshot, "cached">,
        resolveAll: () => void,
    ): Promise<void> {
        const { store, shard, metrics } = this.options;
        this.lastKnown = undefined;
        const key = { kind: SHARD_KIND, name: shard };
        const outcome = await store.write(key, next.shard, next.revision, "journal", next.era);
        metrics.increment("journal.updates", 1, { outcome: outcome.kind });
        switch (outcome.kind) {
            case "committed":
                if ((outcome.era ?? 0) !== next.era) {
                    return this.handleOtherEra(batch);
                }
                this.lastKnown = { ...next, revision: outcome.revision };
                this.backoff.reset();
                resolveAll();
                return;
            case "conflict":
                return this.retry(batch);
            case "unknown":
                batch.forEach(item => item.mayTakeEffect = true);
                return this.retry(batch);
            case "unavailable":
                return this.handleUnavailable(batch, outcome.retryAfterMs);
            case "invalid":
                this.options.logger.error(`Shard ${shard} was refused by the platform: ${outcome.reason}.`);
                batch.forEach(item => this.giveUp(item, FULL_RETRY_AFTER_MS));
        }
    }

    /**
     * Handles an update that was committed in a newer era than that of its revision. It was made from records that the
     * store may have lost, and may have replaced others, so no claim in it permits sending a call.
     */
    private handleOtherEra(batch: readonly WaitingOperation[]): Promise<void> {
        this.options.logger.error(`Shard ${this.options.shard} was written by a revision of an earlier era.`);
        const claims = batch.filter(item => item.operation.kind === "claim");
        claims.forEach(item => item.resolve({ kind: "unknown" }));
        return this.retry(batch.filter(item => !claims.includes(item)));
    }

    /**
     * Handles an unavailable platform. Refuses claims at once unless they may have taken effect; the other operations
     * wait until their deadline.
     */
    private async handleUnavailable(batch: readonly WaitingOperation[], retryAfterMs: number): Promise<void> {
        const waitMs = Math.max(retryAfterMs, this.backoff.nextMs());
        this.refuseClaimsUntilMs = this.options.clock.monotonicMs() + waitMs;
        const refused = [...batch, ...this.waiting].filter(item =>
            item.operation.kind === "claim" && !item.mayTakeEffect
        );
        refused.forEach(item => this.giveUp(item, Math.ceil(waitMs)));
        this.waiting = [...batch, ...this.waiting].filter(item => !refused.includes(item));
        if (this.waiting.length > 0) {
            await this.options.clock.sleep(waitMs);
        }
    }

    private async retry(batch: readonly WaitingOperation[]): Promise<void> {
        this.waiting.unshift(...batch);
        await this.options.clock.sleep(this.backoff.nextMs());
    }
}
