import { z } from "zod";

/**
 * Settings of the journal. `shardCount` and `bucketMs` determine the location of a key's record. They must be the same
 * on all routers, and must change only when no keyed call has been served for the retention time.
 */
export const journalSettingsSchema = z.strictObject({
    shardCount: z.number().int().min(1).max(256).default(8).describe("Shards of one bucket"),
    bucketMs: z.number().int().min(1000).max(86_400_000).default(600_000).describe(
        "Length of the range of issue times that share a bucket, ms",
    ),
    retentionMs: z.number().int().min(1000).default(86_400_000).describe(
        "Records are kept at least this long after the call was issued, ms",
    ),
    clockErrorMs: z.number().int().min(0).default(60_000).describe(
        "Largest difference allowed between the clocks of two routers, ms",
    ),
    maxAnswerBytes: z.number().int().min(0).default(16_384).describe(
        "Responses with a longer body are not stored, bytes",
    ),
    maxShardBytes: z.number().int().min(1000).max(1_000_000).default(700_000).describe(
        "Stored responses are dropped, oldest first, to keep a shard under this size, bytes",
    ),
    maxBatch: z.number().int().min(1).default(500).describe("Maximum number of records changed by one update"),
    maxWaiting: z.number().int().min(1).default(2000).describe(
        "Operations of one shard that wait at once at one router; more are refused",
    ),
    claimTimeoutMs: z.number().int().min(10).default(2000).describe("A claim is given up after this long, ms"),
    settleTimeoutMs: z.number().int().min(10).default(30_000).describe(
        "Recording a response or a release is given up after this long, ms",
    ),
    ownerTimeoutMs: z.number().int().min(1).default(500).describe(
        "The owner of a shard has this long to respond before the router writes the shard itself, ms",
    ),
});

/** Settings of the journal. */
export type JournalSettings = z.infer<typeof journalSettingsSchema>;
