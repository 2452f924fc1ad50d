import { vmRecordSchema } from "@fescuehaven/platform";
import { z } from "zod";

/** Settings of the stand-in of the platform. */
export const platformSettingsSchema = z.strictObject({
    listen: z.strictObject({
        /** IP address. */
        host: z.union([z.ipv4(), z.ipv6()]),
        /** 0 picks a free port. */
        port: z.number().int().min(0).max(65_535),
    }),
    /** Accepted writes and removals per second. */
    writesPerSecond: z.number().positive().default(400),
    /** Accepted reads, lists and watches per second. */
    readsPerSecond: z.number().positive().default(2000),
    /** Delay until a change of the VM list becomes visible. */
    vmListLagMs: z.number().int().nonnegative().default(1000),
    vms: z.array(vmRecordSchema.strict()).default([]),
});

/** Settings of the stand-in of the platform. */
export type PlatformSettings = z.infer<typeof platformSettingsSchema>;
