import { z } from "zod";

/** Schema of a client account: the API key with which it calls, and its limits. */
export const clientAccountSchema = z.strictObject({
    /** SHA-256 of the API key, lower-case hex. */
    apiKeySha256: z.string().regex(/^[0-9a-f]{64}$/, "64 lower-case hex digits"),
    /** Weight relative to other accounts when they compete for capacity. */
    weight: z.number().int().min(1).max(1000),
    /** Most calls in progress at the same time at one router. */
    maxConcurrentRequests: z.number().int().min(1).max(100_000),
    /** Most calls waiting at the same time at one router. */
    maxQueuedRequests: z.number().int().min(0).max(100_000),
    /** Priority passed to engines; calls with a higher priority go first. */
    priority: z.number().int().min(0).max(9),
});

/** A client account: the API key with which it calls, and its limits. */
export type ClientAccount = z.infer<typeof clientAccountSchema>;
