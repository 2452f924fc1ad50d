import { z } from "zod";

/** Schema of the lease whose holder is the active controller of an availability zone. */
export const zoneLeaseSchema = z.strictObject({
    /** Process name of the holder; empty after the lease was released. */
    holder: z.string(),
    /** Fencing token; increases with every change of holder. */
    fence: z.number().int().nonnegative(),
    /** The holder renews the lease within this time. */
    durationMs: z.number().int().positive(),
    /** Unique id of the update that wrote this value. */
    nonce: z.string(),
});

/** Lease whose holder is the active controller of an availability zone. */
export type ZoneLease = z.infer<typeof zoneLeaseSchema>;
