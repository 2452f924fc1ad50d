import { z } from "zod";

/** Name of an object: lower-case letters, digits, dots and dashes, at most 100 characters. */
export const resourceNameSchema = z.string().regex(
    /^[a-z0-9][a-z0-9.-]{0,99}$/,
    "a name of lower-case letters, digits, dots and dashes, at most 100 characters",
);

/** Name of an object. */
export type ResourceName = z.infer<typeof resourceNameSchema>;
