import type { z } from "zod";
import type { SchemaError } from "../SchemaError.js";

/** Converts every issue of a Zod error to a `SchemaError` with its dotted path. Each unknown field is an error. */
export function describeSchemaErrors(error: z.ZodError): SchemaError[] {
    return error.issues.flatMap(issue => {
        if (issue.code === "unrecognized_keys") {
            return issue.keys.map(key => ({
                path: [...issue.path, key].join("."),
                expected: "no such field is known",
            }));
        }
        return [{ path: issue.path.join(".") || "(root)", expected: issue.message }];
    });
}
