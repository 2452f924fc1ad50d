import { z } from "zod";

/** Settings of the calls that a caller pool sends. */
export const workloadSchema = z.strictObject({
    /** Mean number of calls per second; they arrive at random times, independent of earlier calls. */
    callsPerSecond: z.number().positive().default(20),
    /** Smallest and largest `max_tokens` of a chat call. */
    minTokens: z.number().int().positive().default(20),
    maxTokens: z.number().int().positive().default(60),
    /** Fraction of the chat calls that are streamed. */
    streamedPart: z.number().min(0).max(1).default(0.5),
    /** Fraction of all calls that go to the repeatable service route. */
    servicePart: z.number().min(0).max(1).default(0),
    /** Fraction of all calls that go to the service route whose calls run at most once. */
    keyedPart: z.number().min(0).max(1).default(0),
    /** Number of distinct prompt prefixes. */
    prefixes: z.number().int().positive().default(20),
    /** Longest time that a call may take. */
    timeoutMs: z.number().int().positive().default(20_000),
    /** Largest number of attempts at one call, including the first. */
    maxAttempts: z.number().int().positive().default(4),
    /** Pause before a call that got no refusal is repeated; a refusal sets its own pause. */
    repeatPauseMs: z.number().nonnegative().default(100),
});

/** Settings of the calls that a caller pool sends. */
export type Workload = z.infer<typeof workloadSchema>;
