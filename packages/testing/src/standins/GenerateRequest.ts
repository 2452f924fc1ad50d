import { z } from "zod";

/** Body of `POST /v1/generate` at an engine. */
export const generateRequestSchema = z.strictObject({
    requestId: z.string().min(1),
    /** Unique to this attempt; a cancellation names it. */
    attemptId: z.string().min(1),
    group: z.string().min(1),
    epoch: z.number().int().positive(),
    prompt: z.string(),
    maxTokens: z.number().int().positive(),
    /** Index of the first token to send. */
    resumeFromToken: z.number().int().nonnegative().default(0),
    /** Waiting requests with a higher priority start first. */
    priority: z.number().int().default(0),
});

/** Body of `POST /v1/generate` at an engine. */
export type GenerateRequest = z.infer<typeof generateRequestSchema>;
