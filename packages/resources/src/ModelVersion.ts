import { z } from "zod";
import { resourceNameSchema } from "./resourceName.js";

/** A model at one version, as engines load it. */
export const modelVersionSchema = z.strictObject({
    /** Model that callers name in their requests. */
    model: resourceNameSchema,
    /** Version of the weights. Answers of one version are alike on every replica. */
    version: z.string().min(1).max(100),
    /** Size of the weights that each member loads, GiB. */
    weightsPerMemberGiB: z.number().positive(),
});

/** A model at one version, as engines load it. */
export type ModelVersion = z.infer<typeof modelVersionSchema>;
