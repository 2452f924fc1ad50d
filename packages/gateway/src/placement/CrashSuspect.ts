import { z } from "zod";

/** Evidence that a part of prompts, or a whole request, crashes upstreams. Times are given as ages, because clocks of gateways differ. */
export const crashSuspectSchema = z.object({
    part: z.string(),
    /** Service and model to whose upstreams the prompts were sent. */
    pool: z.string(),
    /** Starts of upstreams that ended while they were about to respond to a prompt with this part. */
    crashes: z.array(z.object({ upstream: z.int().nonnegative(), ageMs: z.number() })),
    /** The latest response to a prompt with this part that has begun; the id tells whether two reports mean the same. */
    begun: z.object({ id: z.int().nonnegative(), ageMs: z.number() }).optional(),
    /** Present while requests with this part are blocked: since when, and how many trials were sent meanwhile. */
    block: z.object({ ageMs: z.number(), trials: z.int().nonnegative() }).optional(),
});

/** See {@link crashSuspectSchema}. */
export type CrashSuspect = z.infer<typeof crashSuspectSchema>;
