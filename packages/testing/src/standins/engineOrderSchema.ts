import { z } from "zod";

/** Body of `POST /v1/orders` at an engine. */
export const engineOrderSchema = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal("load"),
        fence: z.number().int().positive(),
        group: z.string().min(1),
        modelVersion: z.string().min(1),
        weightsGiB: z.number().nonnegative(),
        rank: z.number().int().nonnegative(),
        memberUrls: z.array(z.url()).min(1),
    }),
    z.strictObject({ kind: z.literal("unload"), fence: z.number().int().positive() }),
]);
