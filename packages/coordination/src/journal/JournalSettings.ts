import { z } from "zod";

/**
 * Settings of the journal. `shardCount` and `bucketMs` decide where a key's record is: they are alike on all routers,
 * and change only while no keyed call has been served for the retention.
 */
export const journalSettingsSchema = z.strictObject({
    /** Shards of one bucket. */
    shardCount: z.number().int().min(1).max(256).default(8),
    /** Issue times that share a bucket, ms. */
    bucketMs: z.number().int().min(1000).max(86_400_000).default(600_000),
    /** Records are kept at least this long after the call was issued, ms. */
    retentionMs: z.number().int().min(1000).default(86_400_000),
    /** Most that the clocks of two routers may differ, ms. */
    clockErrorMs: z.number().int().min(0).default(60_000),
    /** Answers with a longer body are not held, bytes. */
    maxAnswerBytes: z.number().int().min(0).default(16_384),
    /** Held answers are dropped, oldest first, to keep a shard under this size, bytes. */
    maxShardBytes: z.number().int().min(1000).max(1_000_000).default(700_000),
    /** Records that one update changes at most. */
    maxBatch: z.number().int().min(1).default(500),
    /** Operations of one shard that wait at once at one router; more are refused. */
    maxWaiting: z.number().int().min(1).default(2000),
    /** A claim is given up after this long, ms. */
    claimTimeoutMs: z.number().int().min(10).default(2000),
    /** Recording an answer or a release is given up after this long, ms. */
    settleTimeoutMs: z.number().int().min(10).default(30_000),
    /** The owner of a shard has this long to answer before the router writes itself, ms. */
    ownerTimeoutMs: z.number().int().min(1).default(500),
});

/** Settings of the journal. */
export type JournalSettings = z.infer<typeof journalSettingsSchema>;
