import { z } from "zod";

/** Complete response of a call, kept for repeated calls if it fits. */
const heldResponseSchema = z.strictObject({
    /** HTTP status. */
    status: z.number().int(),
    contentType: z.string(),
    bodyBase64: z.string(),
});

const journalRecordSchema = z.strictObject({
    /** Unique id of the attempt that holds the key; used to resolve updates whose response was lost. */
    claimant: z.string().min(1),
    /** `claimed`: the call is in progress or its outcome is unknown. `finished`: it ran, with a complete response. */
    state: z.enum(["claimed", "finished"]),
    /** Distinguishes calls with the same key but different content. */
    requestDigest: z.string(),
    /** Left out if the response did not fit. */
    answer: heldResponseSchema.optional(),
});

/**
 * Schema of a journal shard: records of the idempotency keys of calls that were issued within one time bucket, for keys
 * that hash to this shard. Changed only by conditional updates. The name of the object is `BUCKET-SHARD`: the start of
 * the bucket in Unix milliseconds, and the number of the shard.
 */
export const journalShardSchema = z.strictObject({
    /** Records by hash of client account, route and idempotency key, in the order in which they were claimed. */
    records: z.record(z.string(), journalRecordSchema),
});

/** Records of the idempotency keys of calls issued within one time bucket, for keys that hash to one shard. */
export type JournalShard = z.infer<typeof journalShardSchema>;
