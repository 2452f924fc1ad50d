import { z } from "zod";

/** A whole answer of a call, kept for repeats while it fits. */
const heldAnswerSchema = z.strictObject({
    /** HTTP status. */
    status: z.number().int(),
    contentType: z.string(),
    bodyBase64: z.string(),
});

const journalRecordSchema = z.strictObject({
    /** Unique id of the attempt that holds the key; settles updates whose answer was lost. */
    claimant: z.string().min(1),
    /** `claimed`: in progress, or its outcome is unknown. `finished`: ran, with a whole answer. */
    state: z.enum(["claimed", "finished"]),
    /** Tells calls with one key but different content apart. */
    requestDigest: z.string(),
    /** Left out when it did not fit. */
    answer: heldAnswerSchema.optional(),
});

/**
 * Records of the idempotency keys of one bucket of issue times that hash to one shard. Changed only by conditional
 * update. Its name is `BUCKET-SHARD`: start of the bucket in Unix milliseconds, and number of the shard.
 */
export const journalShardSchema = z.strictObject({
    /** Records by hash of client account, route and idempotency key, in the order of their claims. */
    records: z.record(z.string(), journalRecordSchema),
});

/** Records of the idempotency keys of one bucket of issue times that hash to one shard. */
export type JournalShard = z.infer<typeof journalShardSchema>;
