import { vmRecordSchema } from "@fescuehaven/platform";
import { z } from "zod";

/** Body of `POST /test/faults` at the stand-in of the platform; fields left out stay as they are. */
export const platformFaultsSchema = z.strictObject({
    /** Every call is refused. */
    outage: z.boolean().optional(),
    /** Every call takes this much longer, ms. */
    delayMs: z.number().nonnegative().optional(),
    /** Writes take effect and the connection breaks before the answer: this many of the next ones. */
    loseNextAnswers: z.number().int().nonnegative().optional(),
    /** Writes have no effect and the connection breaks: this many of the next ones. */
    loseNextWrites: z.number().int().nonnegative().optional(),
    /** Watches are never answered. */
    silentWatches: z.boolean().optional(),
    /** Source addresses whose calls are taken and never answered. */
    blockedAddresses: z.array(z.string()).optional(),
    /** Replaces the list of VMs, which shows after its lag. */
    vms: z.array(vmRecordSchema.strict()).optional(),
});

/** Faults of the stand-in of the platform. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;
