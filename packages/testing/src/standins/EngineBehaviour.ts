import { z } from "zod";

/** How a replica behaves; alike for all VMs of one process. */
export const engineBehaviourSchema = z.strictObject({
    /** Refuse orders with an old fencing number. */
    obeyFencing: z.boolean().default(true),
    /** Keep loaded weights when an order changes only the fencing number and the members. */
    keepsWeights: z.boolean().default(true),
    /** Time of one decoding step of a lone request, ms. */
    tokenMs: z.number().positive().default(5),
    /** Part by which a step grows when the batch is as large as `warmCapacity`. */
    batchSlowdown: z.number().nonnegative().default(1),
    /** Time to the first token of a prompt that is not cached, ms. */
    prefillMs: z.number().nonnegative().default(20),
    /** Requests decoded at once; others wait by priority. */
    batchLimit: z.number().int().positive().default(64),
    /** Requests that a replica carries right after a cold start. */
    coldCapacity: z.number().int().positive().default(4),
    /** Requests that a replica carries when warm. */
    warmCapacity: z.number().int().positive().default(32),
    /** Completed requests that warm a replica up. */
    warmUpCompletedRequests: z.number().int().positive().default(40),
    /** Time in service that warms a replica up, ms. */
    warmUpMs: z.number().positive().default(8000),
    /** Time over the capacity after which a replica falls over, ms. */
    overloadGraceMs: z.number().nonnegative().default(50),
    /** Time until a fallen engine is back, ms. */
    restartMs: z.number().nonnegative().default(1000),
    /** Lag of the load in reports, ms. */
    reportLagMs: z.number().nonnegative().default(200),
    /** How often the head checks its members, ms. */
    memberCheckMs: z.number().positive().default(100),
    /** Longest wait for a member's answer, ms. */
    memberTimeoutMs: z.number().positive().default(1000),
    /** Prompt prefixes that the cache holds. */
    prefixCacheEntries: z.number().int().nonnegative().default(256),
    /** Delay of cache events, ms. */
    cacheEventLagMs: z.number().nonnegative().default(500),
    /** Part of the cache events that are never published. */
    cacheEventLoss: z.number().min(0).max(1).default(0.05),
    /** Largest part by which load times and steps vary at random. */
    jitter: z.number().min(0).max(0.9).default(0.1),
});

/** How a replica behaves. */
export type EngineBehaviour = z.infer<typeof engineBehaviourSchema>;
