import type { ObjectStore } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { JournalPartition } from "./JournalPartition.js";
import type { JournalSettings } from "./JournalSettings.js";
import type { ShardOwners } from "./ShardOwners.js";

const SHARD_KIND = "journal-shard";
/** Past buckets that are looked at: older shards are left to the operators. */
const BUCKETS_LOOKED_AT = 24;

/** Options of `JournalCleaner`. */
interface JournalCleanerOptions {
    settings: JournalSettings;
    partition: JournalPartition;
    owners: ShardOwners;
    store: ObjectStore;
    clock: Clock;
    random: Random;
}

/** Removes shards whose retention is over; each router those that it owns. */
export class JournalCleaner {
    private readonly known = new Set<string>();

    private constructor(private readonly options: JournalCleanerOptions) {}

    /** Creates a cleaner; it removes nothing until `run`. */
    static create(options: JournalCleanerOptions): JournalCleaner {
        return new JournalCleaner(options);
    }

    /** Sweeps once in the time of a bucket until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, random, settings } = this.options;
        while (!signal.aborted) {
            await clock.sleep(settings.bucketMs * (0.5 + random.next()), signal);
            await this.sweep(signal);
        }
    }

    /** RemoveBucket of the specification. */
    private async sweep(signal: AbortSignal): Promise<void> {
        const { partition, owners, clock } = this.options;
        const past = partition.pastShards(clock.now(), BUCKETS_LOOKED_AT);
        const own = past.filter(shard => !this.known.has(shard) && owners.ownerOf(shard) === undefined);
        for (const shard of own) {
            if (signal.aborted) {
                return;
            }
            await this.remove(shard);
        }
        [...this.known].filter(shard => !past.includes(shard)).forEach(shard => this.known.delete(shard));
    }

    private async remove(name: string): Promise<void> {
        const key = { kind: SHARD_KIND, name };
        const found = await this.options.store.read(key, "journal");
        const removed = found.kind === "found"
            ? await this.options.store.remove(key, found.object.revision, "journal")
            : undefined;
        if (found.kind === "absent" || removed?.kind === "committed") {
            this.known.add(name);
        }
    }
}
