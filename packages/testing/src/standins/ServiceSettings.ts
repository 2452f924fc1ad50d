import { z } from "zod";

/** Settings of the stand-in of a plain service. */
export const serviceSettingsSchema = z.strictObject({
    listen: z.strictObject({
        /** IP address. */
        host: z.union([z.ipv4(), z.ipv6()]),
        /** 0 picks a free port. */
        port: z.number().int().min(0).max(65_535),
    }),
    /** Execution time of a call. */
    executionMs: z.number().nonnegative().default(5),
});

/** Settings of the stand-in of a plain service. */
export type ServiceSettings = z.infer<typeof serviceSettingsSchema>;
