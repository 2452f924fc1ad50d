import { z } from "zod";
import { resourceNameSchema } from "./resourceName.js";

/** Schema of one version of a model, as engines load it. */
export const modelVersionSchema = z.strictObject({
    /** Model that callers name in their requests. */
    model: resourceNameSchema,
    /** Version of the weights. All replicas of one version give the same responses. */
    version: z.string().min(1).max(100),
    /** Size of the weights that each member loads, GiB. */
    weightsPerMemberGiB: z.number().positive(),
});

/** One version of a model, as engines load it. */
export type ModelVersion = z.infer<typeof modelVersionSchema>;
