import { z } from "zod";

/**
 * Settings of the journal. `shardCount` and `bucketMs` decide where a key's record is: they are alike on all routers,
 * and change only while no keyed call has been served for the retention.
 */
export const journalSettingsSchema = z.strictObject({
    shardCount: z.number().int().min(1).max(256).default(8).describe("Shards of one bucket"),
    bucketMs: z.number().int().min(1000).max(86_400_000).default(600_000).describe(
        "Issue times that share a bucket, ms",
    ),
    retentionMs: z.number().int().min(1000).default(86_400_000).describe(
        "Records are kept at least this long after the call was issued, ms",
    ),
    clockErrorMs: z.number().int().min(0).default(60_000).describe(
        "Most that the clocks of two routers may differ, ms",
    ),
    maxAnswerBytes: z.number().int().min(0).default(16_384).describe("Answers with a longer body are not held, bytes"),
    maxShardBytes: z.number().int().min(1000).max(1_000_000).default(700_000).describe(
        "Held answers are dropped, oldest first, to keep a shard under this size, bytes",
    ),
    maxBatch: z.number().int().min(1).default(500).describe("Records that one update changes at most"),
    maxWaiting: z.number().int().min(1).default(2000).describe(
        "Operations of one shard that wait at once at one router; more are refused",
    ),
    claimTimeoutMs: z.number().int().min(10).default(2000).describe("A claim is given up after this long, ms"),
    settleTimeoutMs: z.number().int().min(10).default(30_000).describe(
        "Recording an answer or a release is given up after this long, ms",
    ),
    ownerTimeoutMs: z.number().int().min(1).default(500).describe(
        "The owner of a shard has this long to answer before the router writes itself, ms",
    ),
});

/** Settings of the journal. */
export type JournalSettings = z.infer<typeof journalSettingsSchema>;
