import { z } from "zod";
import { resourceNameSchema } from "./resourceName.js";

/** Schema of a plain service that runs beside the model engines. */
export const serviceSchema = z.strictObject({
    endpoints: z.array(z.strictObject({
        name: resourceNameSchema,
        zone: resourceNameSchema,
        /** Base URL, http or https. */
        url: z.url(),
        /** Most calls in progress at the same time when the endpoint is warm. */
        maxConcurrentRequests: z.number().int().min(1).max(4096),
        /** Most calls in progress at the same time right after a cold start. */
        coldConcurrentRequests: z.number().int().min(1).max(4096),
    })).min(1),
});

/** A plain service that runs beside the model engines. */
export type Service = z.infer<typeof serviceSchema>;
