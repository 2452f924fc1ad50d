import type { ObjectStore } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { JournalPartition } from "./JournalPartition.js";
import type { JournalSettings } from "./JournalSettings.js";
import type { ShardOwners } from "./ShardOwners.js";

const SHARD_KIND = "journal-shard";
/** Number of expired buckets that a sweep checks. Older shards are left to the operators. */
const MAX_EXPIRED_BUCKETS = 24;

interface JournalCleanerOptions {
    settings: JournalSettings;
    partition: JournalPartition;
    owners: ShardOwners;
    store: ObjectStore;
    clock: Clock;
    random: Random;
}

/** Removes expired shards. Each router removes those that it owns. */
export class JournalCleaner {
    /** Names of expired shards that no longer exist. */
    private readonly knownAbsent = new Set<string>();

    private constructor(private readonly options: JournalCleanerOptions) {}

    /** Creates a cleaner; it removes nothing until `run`. */
    static create(options: JournalCleanerOptions): JournalCleaner {
        return new JournalCleaner(options);
    }

    /** Sweeps once per bucket length on average until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, random, settings } = this.options;
        while (!signal.aborted) {
            await clock.sleep(settings.bucketMs * (0.5 + random.next()), signal);
            await this.sweep(signal);
        }
    }

    /** Removes expired shards that this router owns. Implements RemoveBucket of the specification. */
    private async sweep(signal: AbortSignal): Promise<void> {
        const { partition, owners, clock } = this.options;
        const expired = partition.expiredShards(clock.now(), MAX_EXPIRED_BUCKETS);
        const owned = expired.filter(shard => !this.knownAbsent.has(shard) && owners.ownerOf(shard) === undefined);
        for (const shard of owned) {
            if (signal.aborted) {
                return;
            }
            await this.remove(shard);
        }
        [...this.knownAbsent].filter(shard => !expired.includes(shard)).forEach(shard =>
            this.knownAbsent.delete(shard)
        );
    }

    private async remove(name: string): Promise<void> {
        const key = { kind: SHARD_KIND, name };
        const found = await this.options.store.read(key, "journal");
        const removed = found.kind === "found"
            ? await this.options.store.remove(key, found.object.revision, "journal")
            : undefined;
        if (found.kind === "absent" || removed?.kind === "committed") {
            this.knownAbsent.add(name);
        }
    }
}
