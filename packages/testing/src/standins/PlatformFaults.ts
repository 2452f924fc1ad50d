import { vmRecordSchema } from "@fescuehaven/platform";
import { z } from "zod";

/** Body of `POST /test/faults` at the stand-in of the platform; fields that are left out keep their value. */
export const platformFaultsSchema = z.strictObject({
    /** Every call is refused. */
    outage: z.boolean().optional(),
    /** Every call takes this much longer. */
    delayMs: z.number().nonnegative().optional(),
    /** Number of the next writes that take effect but whose connection breaks before the response. */
    loseNextAnswers: z.number().int().nonnegative().optional(),
    /** Number of the next writes that have no effect and whose connection breaks. */
    loseNextWrites: z.number().int().nonnegative().optional(),
    /** Watches never get a response. */
    silentWatches: z.boolean().optional(),
    /** Source addresses whose calls are accepted but never get a response. */
    blockedAddresses: z.array(z.string()).optional(),
    /** Replaces the list of VMs; the new one becomes visible after `vmListLagMs`. */
    vms: z.array(vmRecordSchema.strict()).optional(),
});

/** Injected faults of the stand-in of the platform. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;
