import { z } from "zod";

/** Body of `POST /test/faults` at an engine; fields that are left out keep their value. */
export const engineFaultsSchema = z.strictObject({
    /** Follow orders with an old fencing token. */
    ignoreFencing: z.boolean().optional(),
    /** Accept connections and calls, but never respond; open streams stall. */
    silent: z.boolean().optional(),
    /** Factor by which prefill and every decoding step take longer. */
    slowFactor: z.number().positive().optional(),
    /** Age of the load that reports show. */
    reportLagMs: z.number().nonnegative().optional(),
    /** Refuse every generation. */
    refuseAll: z.boolean().optional(),
    /** Restart the engine: it gets a new boot id and holds no model. */
    restart: z.boolean().optional(),
    /** Abort the next stream after this many tokens. */
    breakAfterTokens: z.number().int().nonnegative().optional(),
    /** Send every token twice. */
    duplicateTokens: z.boolean().optional(),
    /** Send a token of another request before each token. */
    crossAnswers: z.boolean().optional(),
});

/** Injected faults of a stand-in engine. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
