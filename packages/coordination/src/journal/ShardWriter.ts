import type { ObjectStore, Revision } from "@fescuehaven/platform";
import { type JournalShard, journalShardSchema } from "@fescuehaven/resources";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { Logger, Metrics } from "@fescuehaven/telemetry";
import { Backoff } from "../util/Backoff.js";
import { applyOperation } from "./applyOperation.js";
import { fitShard } from "./fitShard.js";
import type { JournalOperation } from "./JournalOperation.js";
import type { JournalSettings } from "./JournalSettings.js";
import type { OperationOf } from "./OperationOf.js";
import type { OperationOutcome } from "./OperationOutcome.js";

/** Kind of a shard's object in the platform. */
const SHARD_KIND = "journal-shard";
/** Waits after a conflict or a failure, ms. */
const BACKOFF_FIRST_MS = 10;
const BACKOFF_MAX_MS = 1000;
/** When to come back to a shard that has no room, ms. */
const FULL_RETRY_AFTER_MS = 1000;

/** Outcomes that an earlier state of the shard does not prove. */
const PROVISIONAL_KINDS: ReadonlySet<string> = new Set(["held-by-other", "mismatched-request", "unavailable"]);

type AnyOutcome = OperationOutcome[JournalOperation["kind"]];

/** Options of `ShardWriter`. */
interface ShardWriterOptions {
    /** Name of the shard. */
    shard: string;
    store: ObjectStore;
    settings: JournalSettings;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
}

interface Waiting {
    operation: JournalOperation;
    deadlineMs: number;
    /** An update with it was sent and its answer lost: it may have landed, or may land yet. */
    mayLand: boolean;
    resolve: (outcome: AnyOutcome) => void;
}

interface Snapshot {
    revision: Revision;
    shard: JournalShard;
    /** Read or written earlier: another writer may have changed the object since. */
    cached: boolean;
}

/**
 * Writes one shard: all operations that wait go into one conditional update. An update whose answer was lost is settled
 * by reading the shard again, where the claimants' ids say which operations landed.
 */
export class ShardWriter {
    private waiting: Waiting[] = [];
    private held: Omit<Snapshot, "cached"> | undefined;
    private running = false;
    /** Until then the platform is not asked again. */
    private downUntilMs = 0;
    private readonly backoff: Backoff;

    private constructor(private readonly options: ShardWriterOptions) {
        const { random } = options;
        this.backoff = Backoff.create({ random, firstMs: BACKOFF_FIRST_MS, maxMs: BACKOFF_MAX_MS });
    }

    /** Creates a writer that holds nothing. */
    static create(options: ShardWriterOptions): ShardWriter {
        return new ShardWriter(options);
    }

    /** True while no operation waits. */
    get idle(): boolean {
        return !this.running;
    }

    /** Carries out an operation, or says within `timeoutMs` and one platform call that it could not. */
    submit<K extends JournalOperation["kind"]>(
        operation: OperationOf<K>,
        timeoutMs: number,
    ): Promise<OperationOutcome[K]> {
        if (this.waiting.length >= this.options.settings.maxWaiting) {
            return Promise.resolve({ kind: "unavailable", retryAfterMs: FULL_RETRY_AFTER_MS });
        }
        const nowMs = this.options.clock.monotonicMs();
        if (operation.kind === "claim" && nowMs < this.downUntilMs) {
            return Promise.resolve({ kind: "unavailable", retryAfterMs: Math.ceil(this.downUntilMs - nowMs) });
        }
        const deadlineMs = nowMs + timeoutMs;
        return new Promise(resolve => {
            const settle = resolve as (outcome: AnyOutcome) => void;
            this.waiting.push({ operation, deadlineMs, mayLand: false, resolve: settle });
            if (!this.running) {
                this.running = true;
                void this.run();
            }
        });
    }

    private async run(): Promise<void> {
        while (this.waiting.length > 0) {
            const batch = this.waiting.splice(0, this.options.settings.maxBatch);
            const due = this.dropOverdue(batch);
            const snapshot = due.length > 0 ? await this.snapshot(due) : undefined;
            if (snapshot) {
                await this.commit(due, snapshot);
            }
        }
        this.running = false;
    }

    /** An operation whose time is over is not sent again. */
    private dropOverdue(batch: readonly Waiting[]): Waiting[] {
        const nowMs = this.options.clock.monotonicMs();
        batch.filter(item => item.deadlineMs <= nowMs).forEach(item => this.giveUp(item, 0));
        return batch.filter(item => item.deadlineMs > nowMs);
    }

    private giveUp(item: Waiting, retryAfterMs: number): void {
        item.resolve(item.mayLand ? { kind: "unknown" } : { kind: "unavailable", retryAfterMs });
    }

    /** The shard as held or read; undefined when the platform did not give it, which is dealt with. */
    private async snapshot(batch: Waiting[]): Promise<Snapshot | undefined> {
        if (this.held) {
            return { ...this.held, cached: true };
        }
        const outcome = await this.options.store.read({ kind: SHARD_KIND, name: this.options.shard }, "journal");
        if (outcome.kind === "unavailable") {
            await this.failed(batch, outcome.retryAfterMs);
            return undefined;
        }
        if (outcome.kind === "absent") {
            return { revision: 0, shard: { records: {} }, cached: false };
        }
        const parsed = journalShardSchema.safeParse(outcome.object.value);
        if (!parsed.success) {
            this.options.logger.error(`Shard ${this.options.shard} cannot be read; its calls are refused.`);
            batch.forEach(item => this.giveUp(item, FULL_RETRY_AFTER_MS));
            return undefined;
        }
        return { revision: outcome.object.revision, shard: parsed.data, cached: false };
    }

    private async commit(batch: Waiting[], snapshot: Snapshot): Promise<void> {
        const shard = { records: { ...snapshot.shard.records } };
        const { maxAnswerBytes, maxShardBytes } = this.options.settings;
        const applied = batch.map(item =>
            applyOperation<JournalOperation["kind"]>(shard.records, item.operation, maxAnswerBytes)
        );
        const resolveAll = () => batch.forEach((item, index) => item.resolve(applied[index]!.outcome));
        if (snapshot.cached && applied.some(result => PROVISIONAL_KINDS.has(result.outcome.kind))) {
            this.held = undefined;
            this.waiting.unshift(...batch);
            return;
        }
        if (!applied.some(result => result.changed)) {
            this.held = snapshot;
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
        await this.write(batch, { revision: snapshot.revision, shard }, resolveAll);
    }

    private async write(batch: Waiting[], next: Omit<Snapshot, "cached">, resolveAll: () => void): Promise<void> {
        const { store, shard, metrics } = this.options;
        this.held = undefined;
        const outcome = await store.write({ kind: SHARD_KIND, name: shard }, next.shard, next.revision, "journal");
        metrics.increment("journal.updates", 1, { outcome: outcome.kind });
        switch (outcome.kind) {
            case "committed":
                this.held = { revision: outcome.revision, shard: next.shard };
                this.backoff.reset();
                resolveAll();
                return;
            case "conflict":
                return this.retry(batch);
            case "unknown":
                batch.forEach(item => item.mayLand = true);
                return this.retry(batch);
            case "unavailable":
                return this.failed(batch, outcome.retryAfterMs);
            case "invalid":
                this.options.logger.error(`Shard ${shard} was refused: ${outcome.reason}.`);
                batch.forEach(item => this.giveUp(item, FULL_RETRY_AFTER_MS));
        }
    }

    /** The platform is down: claims are refused at once, the rest waits until its time is over. */
    private async failed(batch: readonly Waiting[], retryAfterMs: number): Promise<void> {
        const waitMs = Math.max(retryAfterMs, this.backoff.nextMs());
        this.downUntilMs = this.options.clock.monotonicMs() + waitMs;
        const refused = [...batch, ...this.waiting].filter(item => item.operation.kind === "claim" && !item.mayLand);
        refused.forEach(item => this.giveUp(item, Math.ceil(waitMs)));
        this.waiting = [...batch, ...this.waiting].filter(item => !refused.includes(item));
        if (this.waiting.length > 0) {
            await this.options.clock.sleep(waitMs);
        }
    }

    private async retry(batch: readonly Waiting[]): Promise<void> {
        this.waiting.unshift(...batch);
        await this.options.clock.sleep(this.backoff.nextMs());
    }
}
