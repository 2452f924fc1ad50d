import { readFile } from "node:fs/promises";
import type { z } from "zod";
import type { SettingsOutcome } from "./SettingsOutcome.js";
import { describeSchemaErrors } from "./util/describeSchemaErrors.js";

/** Reads and validates a JSON settings file. Every error is listed with its path. Never rejects. */
export async function loadSettings<T>(file: string, schema: z.ZodType<T>): Promise<SettingsOutcome<T>> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        return {
            kind: "invalid",
            errors: [{ path: "(file)", expected: `a readable file: ${(error as Error).message}` }],
        };
    }
    let unvalidated: unknown;
    try {
        unvalidated = JSON.parse(text);
    }
    catch (error) {
        return { kind: "invalid", errors: [{ path: "(root)", expected: `JSON: ${(error as Error).message}` }] };
    }
    const parsed = schema.safeParse(unvalidated);
    if (!parsed.success) {
        return { kind: "invalid", errors: describeSchemaErrors(parsed.error) };
    }
    return { kind: "loaded", settings: parsed.data };
}
