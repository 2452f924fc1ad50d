import { z } from "zod";

/** Configuration file of `fescue`. */
export const cliConfigurationSchema = z.strictObject({
    platform: z.strictObject({
        /** Base URL of the platform's object API. */
        url: z.url(),
        /** Longest wait for an answer, ms. */
        timeoutMs: z.number().int().min(10).max(60_000).default(5000),
    }),
    /** Processes whose state and time line are read. */
    processes: z.array(z.strictObject({
        name: z.string().min(1),
        zone: z.string().min(1),
        role: z.enum(["router", "controller"]),
        /** Base URL of the process's peer interface. */
        url: z.url(),
    })).default([]),
});

/** Configuration file of `fescue`. */
export type CliConfiguration = z.infer<typeof cliConfigurationSchema>;
