import { z } from "zod";

/** What callers ask for, and how often. */
export const workloadSchema = z.strictObject({
    /** Calls a second, arriving at random times whatever became of earlier ones. */
    callsPerSecond: z.number().positive().default(20),
    /** Fewest and most tokens of an answer. */
    minTokens: z.number().int().positive().default(20),
    maxTokens: z.number().int().positive().default(60),
    /** Part of the chat calls that are streamed. */
    streamedPart: z.number().min(0).max(1).default(0.5),
    /** Part of all calls that go to the repeatable service route. */
    servicePart: z.number().min(0).max(1).default(0),
    /** Part of all calls that go to the service route whose calls run at most once. */
    keyedPart: z.number().min(0).max(1).default(0),
    /** Prompt prefixes that calls share. */
    prefixes: z.number().int().positive().default(20),
    /** Longest time that a call may take, ms. */
    timeoutMs: z.number().int().positive().default(20_000),
    /** Attempts at one call, the first included. */
    maxAttempts: z.number().int().positive().default(4),
    /** Pause before a repeat when the refusal names none, ms. */
    repeatPauseMs: z.number().nonnegative().default(100),
});

/** What callers ask for, and how often. */
export type Workload = z.infer<typeof workloadSchema>;
