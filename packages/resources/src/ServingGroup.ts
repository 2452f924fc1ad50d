import { z } from "zod";
import { resourceNameSchema } from "./resourceName.js";

/** One replica of a model version, spanning several VMs of one availability zone. */
export const servingGroupSchema = z.strictObject({
    /** Availability zone whose VMs it uses. */
    zone: resourceNameSchema,
    /** Name of the model version object that it serves. */
    modelVersion: resourceNameSchema,
    /** VMs that the replica spans. */
    memberCount: z.number().int().min(1).max(64),
    /** Requests that it carries at once when warm. */
    maxConcurrentRequests: z.number().int().min(1).max(4096),
    /** Requests that it carries at once right after a cold start. */
    coldConcurrentRequests: z.number().int().min(1).max(4096),
});

/** One replica of a model version, spanning several VMs of one availability zone. */
export type ServingGroup = z.infer<typeof servingGroupSchema>;
