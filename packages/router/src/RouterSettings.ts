import { journalSettingsSchema } from "@fescuehaven/coordination";
import { daemonSettingsSchema } from "@fescuehaven/daemon";
import { z } from "zod";

/** Settings of a router, including those of every daemon. */
export const routerSettingsSchema = z.strictObject({
    ...daemonSettingsSchema.shape,
    callerTls: z.strictObject({
        certificateFile: z.string().min(1).describe("PEM file of the certificate, with intermediate ones"),
        keyFile: z.string().min(1).describe("PEM file of the certificate's private key"),
    }).optional().describe(
        "Certificate presented to callers; left out: plain HTTP, for loopback or behind a load balancer that encrypts",
    ),
    plannedRouters: z.number().int().min(1).max(1000).default(2).describe(
        "Most routers that run in the availability zone at once, including replacements that are starting",
    ),
    maxQueuedCalls: z.number().int().min(0).max(1_000_000).default(2000).describe("Calls that wait at once"),
    maxQueuedBytes: z.number().int().min(1024).default(33_554_432).describe("Memory of all calls that wait, bytes"),
    bodyLimitBytes: z.number().int().min(1024).max(67_108_864).default(1_048_576).describe(
        "Largest body of a call, bytes",
    ),
    maxAnswerBytes: z.number().int().min(1024).max(67_108_864).default(1_048_576).describe(
        "Largest response of a plain service, bytes",
    ),
    connectTimeoutMs: z.number().int().min(10).max(60_000).default(1000).describe(
        "Longest wait for a connection to an upstream, ms",
    ),
    streamSilenceMs: z.number().int().min(100).max(600_000).default(3500).describe(
        "A stream without any event for this long is abandoned, ms",
    ),
    streamProgressMs: z.number().int().min(100).max(3_600_000).default(30_000).describe(
        "A stream without a token for this long is abandoned, ms",
    ),
    callerStallMs: z.number().int().min(100).max(3_600_000).default(60_000).describe(
        "A call whose caller receives nothing of its response for this long is aborted, ms",
    ),
    readinessLagMs: z.number().int().min(0).max(600_000).default(1000).describe(
        "Time after the end of readiness in which calls are refused rather than connections closed, ms",
    ),
    maxForwardsPerPeer: z.number().int().min(0).max(100_000).default(256).describe(
        "Calls forwarded at once to one router of another availability zone",
    ),
    journal: journalSettingsSchema.prefault({}).describe("Record of idempotency keys"),
});

/** Settings of a router. */
export type RouterSettings = z.infer<typeof routerSettingsSchema>;
