import type { ObjectStore } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { Logger, Metrics } from "@fescuehaven/telemetry";
import type { JournalEras } from "./JournalEras.js";
import type { JournalOperation } from "./JournalOperation.js";
import type { JournalSettings } from "./JournalSettings.js";
import type { OperationOf } from "./OperationOf.js";
import type { OperationOutcome } from "./OperationOutcome.js";
import { ShardWriter } from "./ShardWriter.js";

/** Maximum number of shards that a process keeps in memory, not counting those with operations in progress. */
const MAX_IDLE_WRITERS = 32;

interface ShardWritersOptions {
    store: ObjectStore;
    eras: JournalEras;
    settings: JournalSettings;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
}

/** The shard writers of this process, one per shard. */
export class ShardWriters {
    private readonly writers = new Map<string, ShardWriter>();

    private constructor(private readonly options: ShardWritersOptions) {}

    /** Creates the set without writers. */
    static create(options: ShardWritersOptions): ShardWriters {
        return new ShardWriters(options);
    }

    /** Performs an operation of this process on a shard. */
    submit<K extends JournalOperation["kind"]>(
        shard: string,
        operation: OperationOf<K>,
    ): Promise<OperationOutcome[K]> {
        const { claimTimeoutMs, settleTimeoutMs } = this.options.settings;
        const timeoutMs = operation.kind === "claim" ? claimTimeoutMs : settleTimeoutMs;
        return this.writerOf(shard).submit<K>(operation, timeoutMs);
    }

    /** Performs an operation for another router, within the time that the router waits. */
    submitForPeer<K extends JournalOperation["kind"]>(
        shard: string,
        operation: OperationOf<K>,
    ): Promise<OperationOutcome[K]> {
        return this.writerOf(shard).submit<K>(operation, this.options.settings.ownerTimeoutMs);
    }

    /** Returns the shard's writer and marks it as the most recently used. */
    private writerOf(shard: string): ShardWriter {
        const writer = this.writers.get(shard) ?? ShardWriter.create({ ...this.options, shard });
        this.writers.delete(shard);
        this.writers.set(shard, writer);
        this.evictIdle();
        return writer;
    }

    private evictIdle(): void {
        const idle = [...this.writers].slice(0, -1).filter(([, writer]) => writer.idle);
        const surplus = idle.slice(0, Math.max(0, idle.length - MAX_IDLE_WRITERS));
        surplus.forEach(([shard]) => this.writers.delete(shard));
    }
}
