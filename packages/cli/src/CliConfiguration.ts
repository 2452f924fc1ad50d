import { z } from "zod";

const tlsSchema = z.strictObject({
    certificateFile: z.string().min(1).describe("PEM file of the operator's certificate"),
    keyFile: z.string().min(1).describe("PEM file of the certificate's private key"),
    authorityFile: z.string().min(1).describe("PEM file of the authorities whose certificates are trusted"),
});

/** Configuration file of `fescue`. */
export const cliConfigurationSchema = z.strictObject({
    platform: z.strictObject({
        url: z.url().describe("Base URL of the platform's object API"),
        timeoutMs: z.number().int().min(10).max(60_000).default(5000).describe("Longest wait for a response, ms"),
    }),
    tls: tlsSchema.optional().describe("Certificates towards processes whose URL is https"),
    processes: z.array(z.strictObject({
        name: z.string().min(1),
        zone: z.string().min(1),
        role: z.enum(["router", "controller"]),
        url: z.url().describe("Base URL of the process's peer interface"),
    })).default([]).describe("Processes whose state and timeline are read"),
});

/** Configuration file of `fescue`. */
export type CliConfiguration = z.infer<typeof cliConfigurationSchema>;
