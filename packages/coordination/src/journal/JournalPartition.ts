import { createHash } from "node:crypto";
import type { JournalClaim } from "./JournalClaim.js";
import type { JournalLocation } from "./JournalLocation.js";
import type { JournalSettings } from "./JournalSettings.js";

/** Number of hexadecimal digits of a key's hash that determine its shard. */
const SHARD_DIGITS = 8;
const SHARD_NAME = /^(\d{1,15})-(\d{1,3})$/;

/** Maps keys to shards and determines how long shards are needed. */
export class JournalPartition {
    private constructor(private readonly settings: JournalSettings) {}

    /** Creates the partition. */
    static create(settings: JournalSettings): JournalPartition {
        return new JournalPartition(settings);
    }

    /** Returns the shard and hash of a claim's key. */
    locate(claim: JournalClaim): JournalLocation {
        const { clientAccount, route, idempotencyKey } = claim;
        const keyHash = createHash("sha256").update(JSON.stringify([clientAccount, route, idempotencyKey])).digest(
            "hex",
        );
        const shard = parseInt(keyHash.slice(0, SHARD_DIGITS), 16) % this.settings.shardCount;
        return { shard: this.shardName(this.bucketOf(claim.issuedAt.getTime()), shard), keyHash };
    }

    /** Returns true while a record of the call certainly still exists, whichever router's clock decides its removal. */
    isWithinRetention(issuedAt: Date, now: Date): boolean {
        const { retentionMs, clockErrorMs } = this.settings;
        return now.getTime() - issuedAt.getTime() < retentionMs - clockErrorMs;
    }

    /** Returns true if `name` is the valid name of a shard that may still be needed. */
    isLiveShard(name: string, now: Date): boolean {
        const [, startMs, shard] = SHARD_NAME.exec(name) ?? [];
        return startMs !== undefined && Number(startMs) % this.settings.bucketMs === 0
            && Number(shard) < this.settings.shardCount
            && !this.isExpired(Number(startMs), now);
    }

    /** Returns the shard names of the newest `bucketCount` buckets whose retention is over, newest first. */
    expiredShards(now: Date, bucketCount: number): string[] {
        const { bucketMs, retentionMs, shardCount } = this.settings;
        const newestMs = this.bucketOf(now.getTime() - retentionMs) - bucketMs;
        return Array.from({ length: bucketCount }, (_, index) => newestMs - index * bucketMs)
            .filter(startMs => startMs >= 0)
            .flatMap(startMs => Array.from({ length: shardCount }, (_, shard) => this.shardName(startMs, shard)));
    }

    private isExpired(bucketStartMs: number, now: Date): boolean {
        const { bucketMs, retentionMs } = this.settings;
        return now.getTime() >= bucketStartMs + bucketMs + retentionMs;
    }

    private bucketOf(timeMs: number): number {
        return Math.floor(timeMs / this.settings.bucketMs) * this.settings.bucketMs;
    }

    private shardName(bucketStartMs: number, shard: number): string {
        return `${bucketStartMs}-${shard}`;
    }
}
