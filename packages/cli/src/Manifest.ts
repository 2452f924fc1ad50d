import { resourceNameSchema } from "@fescuehaven/resources";
import { z } from "zod";

/** Schema of one object in a manifest file that operators write. */
export const manifestSchema = z.strictObject({
    kind: z.string(),
    name: resourceNameSchema,
    /** Revision that the change is based on; defaults to the current revision when the manifest is applied. */
    revision: z.number().int().nonnegative().optional(),
    spec: z.unknown(),
});

/** One object in a manifest file that operators write. */
export type Manifest = z.infer<typeof manifestSchema>;
