import { daemonSettingsSchema } from "@fescuehaven/daemon";
import { z } from "zod";

/** Settings of a controller: the settings that every daemon has, and those that only controllers have. */
export const controllerSettingsSchema = z.strictObject({
    ...daemonSettingsSchema.shape,
    leaseDurationMs: z.number().int().min(500).max(600_000).default(6000).describe(
        "The active controller renews its lease within this time, ms",
    ),
    maxConcurrentLoads: z.number().int().min(1).max(10_000).default(8).describe(
        "Most members in the zone that load weights at the same time",
    ),
    memberLostAfterMs: z.number().int().min(500).max(3_600_000).default(5000).describe(
        "A member unseen for this long is replaced if a spare is free, ms",
    ),
    drainBoundMs: z.number().int().min(0).max(86_400_000).default(120_000).describe(
        "Longest wait for a closed group's requests to end, ms",
    ),
});

/** Validated settings of a controller. */
export type ControllerSettings = z.infer<typeof controllerSettingsSchema>;
