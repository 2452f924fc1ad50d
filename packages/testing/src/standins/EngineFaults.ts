import { z } from "zod";

/** Body of `POST /test/faults` at an engine; fields left out stay as they are. */
export const engineFaultsSchema = z.strictObject({
    /** Follow orders with an old fencing number. */
    ignoreFencing: z.boolean().optional(),
    /** Take connections and calls and never answer; streams stand still. */
    silent: z.boolean().optional(),
    /** Every step takes this many times as long. */
    slowFactor: z.number().positive().optional(),
    /** Lag of the load in reports, ms. */
    reportLagMs: z.number().nonnegative().optional(),
    /** Refuse every generation. */
    refuseAll: z.boolean().optional(),
    /** Start anew: a new boot id, empty. */
    restart: z.boolean().optional(),
    /** Cut the next stream after this many tokens. */
    breakAfterTokens: z.number().int().nonnegative().optional(),
    /** Send every token twice. */
    duplicateTokens: z.boolean().optional(),
    /** Send tokens of other requests in between. */
    crossAnswers: z.boolean().optional(),
});

/** Faults of an engine. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
