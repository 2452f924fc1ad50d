import { z } from "zod";
import { resourceNameSchema } from "./resourceName.js";

/** Schema of a serving group: one replica of a model version on several VMs of one availability zone. */
export const servingGroupSchema = z.strictObject({
    /** Availability zone whose VMs it uses. */
    zone: resourceNameSchema,
    /** Name of the model version object that it serves. */
    modelVersion: resourceNameSchema,
    /** Number of VMs that the replica spans. */
    memberCount: z.number().int().min(1).max(64),
    /** Most requests in progress at the same time when the group is warm. */
    maxConcurrentRequests: z.number().int().min(1).max(4096),
    /** Most requests in progress at the same time right after a cold start. */
    coldConcurrentRequests: z.number().int().min(1).max(4096),
});

/** A serving group: one replica of a model version on several VMs of one availability zone. */
export type ServingGroup = z.infer<typeof servingGroupSchema>;
