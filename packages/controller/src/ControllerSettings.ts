import { daemonSettingsSchema } from "@fescuehaven/daemon";
import { z } from "zod";

/** Settings of a controller: those of every daemon and its own. */
export const controllerSettingsSchema = z.strictObject({
    ...daemonSettingsSchema.shape,
    leaseDurationMs: z.number().int().min(500).max(600_000).default(6000).describe(
        "The active controller renews its lease within this time, ms",
    ),
    maxConcurrentLoads: z.number().int().min(1).max(10_000).default(8).describe(
        "Members that load weights at once in the zone",
    ),
    memberLostAfterMs: z.number().int().min(500).max(3_600_000).default(5000).describe(
        "A member unseen for this long is replaced if a spare is free, ms",
    ),
    drainBoundMs: z.number().int().min(0).max(86_400_000).default(120_000).describe(
        "Longest wait for a closed group's requests to end, ms",
    ),
});

/** Settings of a controller. */
export type ControllerSettings = z.infer<typeof controllerSettingsSchema>;
