import type { z } from "zod";
import type { SchemaFault } from "../SchemaFault.js";

/** Turns every issue that a schema found into a fault with its dotted path. */
export function describeFaults(error: z.ZodError): SchemaFault[] {
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
