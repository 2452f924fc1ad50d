import { z } from "zod";

/** Body of `POST /test/faults` at the stand-in of a plain service; fields left out stay as they are. */
export const serviceFaultsSchema = z.strictObject({
    /** The next calls, this many, execute and lose their connection before the answer. */
    dieAfterExecuting: z.number().int().nonnegative().optional(),
    /** The next calls, this many, execute and are never answered. */
    hangAfterExecuting: z.number().int().nonnegative().optional(),
    /** The next calls, this many, are refused without executing. */
    refuse: z.number().int().nonnegative().optional(),
    /** Every call takes this much longer, ms. */
    delayMs: z.number().nonnegative().optional(),
    /** Calls are taken, never executed and never answered. */
    silent: z.boolean().optional(),
});

/** Faults of the stand-in of a plain service. */
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;
