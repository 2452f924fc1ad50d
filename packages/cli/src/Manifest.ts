import { resourceNameSchema } from "@fescuehaven/resources";
import { z } from "zod";

/** One object as operators write it. */
export const manifestSchema = z.strictObject({
    kind: z.string(),
    name: resourceNameSchema,
    /** Revision that the change is based on; left out: the one that stands when it is applied. */
    revision: z.number().int().nonnegative().optional(),
    spec: z.unknown(),
});

/** One object as operators write it. */
export type Manifest = z.infer<typeof manifestSchema>;
