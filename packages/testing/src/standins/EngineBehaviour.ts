import { z } from "zod";

/** Behaviour of a replica; the same for all VMs of one process. */
export const engineBehaviourSchema = z.strictObject({
    /** Whether orders with an old fencing token are refused. */
    obeyFencing: z.boolean().default(true),
    /** Whether loaded weights are kept when an order changes only the fencing token and the members. */
    keepsWeights: z.boolean().default(true),
    /** Duration of one decoding step when only one request runs. */
    tokenMs: z.number().positive().default(5),
    /** Fraction by which a step takes longer when the batch is as large as `warmCapacity`. */
    batchSlowdown: z.number().nonnegative().default(1),
    /** Prefill time of a prompt that is not cached. */
    prefillMs: z.number().nonnegative().default(20),
    /** Number of requests decoded at once; the others wait in order of priority. */
    batchLimit: z.number().int().positive().default(64),
    /** Number of requests that a replica can carry right after a cold start. */
    coldCapacity: z.number().int().positive().default(4),
    /** Number of requests that a warm replica can carry. */
    warmCapacity: z.number().int().positive().default(32),
    /** Number of completed requests after which a replica is warm. */
    warmUpCompletedRequests: z.number().int().positive().default(40),
    /** Time in service after which a replica is warm. */
    warmUpMs: z.number().positive().default(8000),
    /** Time above its capacity after which a replica crashes. */
    overloadGraceMs: z.number().nonnegative().default(50),
    /** Time until a crashed engine accepts connections again. */
    restartMs: z.number().nonnegative().default(1000),
    /** Age of the load that reports show. */
    reportLagMs: z.number().nonnegative().default(200),
    /** Interval at which the head checks its members. */
    memberCheckMs: z.number().positive().default(100),
    /** Longest wait for a member's response. */
    memberTimeoutMs: z.number().positive().default(1000),
    /** Number of prompt prefixes that the cache holds. */
    prefixCacheEntries: z.number().int().nonnegative().default(256),
    /** Delay of cache events. */
    cacheEventLagMs: z.number().nonnegative().default(500),
    /** Fraction of the cache events that are never published. */
    cacheEventLoss: z.number().min(0).max(1).default(0.05),
    /** Largest fraction by which the duration of a step varies at random. */
    jitter: z.number().min(0).max(0.9).default(0.1),
});

/** Behaviour of a replica. */
export type EngineBehaviour = z.infer<typeof engineBehaviourSchema>;
