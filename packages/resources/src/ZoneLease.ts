import { z } from "zod";

/** Which controller of an availability zone is active. */
export const zoneLeaseSchema = z.strictObject({
    /** Process name of the holder; empty when released. */
    holder: z.string(),
    /** Grows with every change of holder. */
    fence: z.number().int().nonnegative(),
    /** The holder renews within this time, ms. */
    durationMs: z.number().int().positive(),
    /** Unique id of the update that wrote this value. */
    nonce: z.string(),
});

/** Which controller of an availability zone is active. */
export type ZoneLease = z.infer<typeof zoneLeaseSchema>;
