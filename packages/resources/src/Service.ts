import { z } from "zod";
import { resourceNameSchema } from "./resourceName.js";

/** A plain service beside the model engines. */
export const serviceSchema = z.strictObject({
    endpoints: z.array(z.strictObject({
        name: resourceNameSchema,
        zone: resourceNameSchema,
        /** Base URL, http or https. */
        url: z.url(),
        /** Calls that it carries at once when warm. */
        maxConcurrentRequests: z.number().int().min(1).max(4096),
        /** Calls that it carries at once right after a cold start. */
        coldConcurrentRequests: z.number().int().min(1).max(4096),
    })).min(1),
});

/** A plain service beside the model engines. */
export type Service = z.infer<typeof serviceSchema>;
