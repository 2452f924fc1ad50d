import { z } from "zod";

/** A client account: who may call, and how much. */
export const clientAccountSchema = z.strictObject({
    /** SHA-256 of the API key, lower-case hex. */
    apiKeySha256: z.string().regex(/^[0-9a-f]{64}$/, "64 lower-case hex digits"),
    /** Share of the capacity under contention, relative to other accounts. */
    weight: z.number().int().min(1).max(1000),
    /** Calls in progress at once at one router. */
    maxConcurrentRequests: z.number().int().min(1).max(100_000),
    /** Calls waiting at once at one router. */
    maxQueuedRequests: z.number().int().min(0).max(100_000),
    /** Priority passed to engines; higher goes first. */
    priority: z.number().int().min(0).max(9),
});

/** A client account: who may call, and how much. */
export type ClientAccount = z.infer<typeof clientAccountSchema>;
