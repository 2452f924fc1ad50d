import { z } from "zod";

/** Most tokens that a call may request. */
const MAX_TOKENS = 131_072;
const DEFAULT_TOKENS = 256;

/** Body of a chat completion call. Other fields of the protocol are ignored. */
export const chatRequestSchema = z.object({
    model: z.string().min(1).max(100),
    messages: z.array(z.object({ role: z.string().min(1).max(32), content: z.string() })).min(1),
    max_tokens: z.number().int().min(1).max(MAX_TOKENS).default(DEFAULT_TOKENS),
    stream: z.boolean().default(false),
});

/** Body of a chat completion call. */
export type ChatRequest = z.infer<typeof chatRequestSchema>;
