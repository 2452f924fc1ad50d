import { z } from "zod";

/** What became of a serving group: the evidence that auditors are shown. */
export const groupStatusSchema = z.strictObject({
    phase: z.enum(["pending", "loading", "ready", "broken", "draining", "out-of-service"]),
    /** Short machine-readable cause, such as `member-lost`. */
    reason: z.string(),
    /** One sentence for people. */
    message: z.string(),
    /** Epoch of the claim; 0 without one. */
    epoch: z.number().int().nonnegative(),
    /** VM names by rank. */
    members: z.array(z.string()),
    modelVersion: z.string(),
    /** Revision of the serving-group object that this reflects. */
    observedRevision: z.number().int().nonnegative(),
    /** When the phase began, ISO 8601. */
    since: z.iso.datetime(),
    /** The last changes of phase, newest last, at most 20. */
    transitions: z.array(z.strictObject({
        at: z.iso.datetime(),
        phase: z.string(),
        reason: z.string(),
        epoch: z.number().int().nonnegative(),
        controller: z.string(),
    })),
});

/** What became of a serving group. */
export type GroupStatus = z.infer<typeof groupStatusSchema>;
