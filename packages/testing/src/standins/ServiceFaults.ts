import { z } from "zod";

/** Body of `POST /test/faults` at the stand-in of a plain service; fields that are left out keep their value. */
export const serviceFaultsSchema = z.strictObject({
    /** Number of the next calls that execute but lose their connection before the response. */
    dieAfterExecuting: z.number().int().nonnegative().optional(),
    /** Number of the next calls that execute but never get a response. */
    hangAfterExecuting: z.number().int().nonnegative().optional(),
    /** Number of the next calls that are refused without executing. */
    refuse: z.number().int().nonnegative().optional(),
    /** Every call takes this much longer. */
    delayMs: z.number().nonnegative().optional(),
    /** Calls are accepted, but never execute and never get a response. */
    silent: z.boolean().optional(),
});

/** Injected faults of the stand-in of a plain service. */
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;
