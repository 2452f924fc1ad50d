import { daemonSettingsSchema } from "@fescuehaven/daemon";
import { z } from "zod";

/** Settings of a router: those of every daemon and its own. */
export const routerSettingsSchema = z.strictObject({
    ...daemonSettingsSchema.shape,
    /** Certificate towards callers; left out: plain HTTP, for loopback or behind a balancer that encrypts. */
    callerTls: z.strictObject({
        /** PEM file of the certificate, with intermediate ones. */
        certificateFile: z.string().min(1),
        /** PEM file of the certificate's private key. */
        keyFile: z.string().min(1),
    }).optional(),
    /** Most routers that run in the availability zone at once, replacements under way included. */
    plannedRouters: z.number().int().min(1).max(1000).default(2),
    /** Calls that wait at once. */
    maxQueuedCalls: z.number().int().min(0).max(1_000_000).default(2000),
    /** Memory of all calls that wait, bytes. */
    maxQueuedBytes: z.number().int().min(1024).default(33_554_432),
    /** Largest body of a call, bytes. */
    bodyLimitBytes: z.number().int().min(1024).max(67_108_864).default(1_048_576),
    /** Largest answer of a plain service, bytes. */
    maxAnswerBytes: z.number().int().min(1024).max(67_108_864).default(1_048_576),
    /** Longest wait for a connection to an upstream, ms. */
    connectTimeoutMs: z.number().int().min(10).max(60_000).default(1000),
    /** A stream without any sign of life for this long is abandoned, ms. */
    streamSilenceMs: z.number().int().min(100).max(600_000).default(3500),
    /** A stream without a token for this long is abandoned, ms. */
    streamProgressMs: z.number().int().min(100).max(3_600_000).default(30_000),
    /** A caller that takes nothing of its answer for this long is given up, ms. */
    callerStallMs: z.number().int().min(100).max(3_600_000).default(60_000),
    /** Calls forwarded at once to one router of another availability zone. */
    maxForwardsPerPeer: z.number().int().min(0).max(100_000).default(256),
    /** How long records of idempotency keys are kept, ms. */
    keyRetentionMs: z.number().int().min(60_000).default(86_400_000),
    /** Most that the clocks of callers, routers and the platform may differ, ms. */
    clockErrorMs: z.number().int().min(0).max(3_600_000).default(60_000),
});

/** Settings of a router. */
export type RouterSettings = z.infer<typeof routerSettingsSchema>;
