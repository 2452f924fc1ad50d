import { z } from "zod";

/** Schema of a serving group's status, which is shown to auditors as a record of what happened to the group. */
export const groupStatusSchema = z.strictObject({
    phase: z.enum(["pending", "loading", "ready", "broken", "draining", "out-of-service"]),
    /** Short machine-readable cause, such as `member-lost`. */
    reason: z.string(),
    /** One human-readable sentence. */
    message: z.string(),
    /** Epoch of the group's formation; 0 if the group is not in the ledger. */
    epoch: z.number().int().nonnegative(),
    /** VM names by rank. */
    members: z.array(z.string()),
    modelVersion: z.string(),
    /** Revision of the serving-group object that this status reflects. */
    observedRevision: z.number().int().nonnegative(),
    /** When the phase began, ISO 8601. */
    since: z.iso.datetime(),
    /** The last changes of the status, newest last, at most 20. */
    transitions: z.array(z.strictObject({
        at: z.iso.datetime(),
        phase: z.string(),
        reason: z.string(),
        epoch: z.number().int().nonnegative(),
        controller: z.string(),
    })),
});

/** Status of a serving group. */
export type GroupStatus = z.infer<typeof groupStatusSchema>;
