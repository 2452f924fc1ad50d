import { readFile } from "node:fs/promises";
import type { z } from "zod";
import type { SettingsOutcome } from "./SettingsOutcome.js";
import { describeFaults } from "./util/describeFaults.js";

/** Reads a JSON settings file and checks it whole; every fault is listed by its path. */
export async function loadSettings<T>(file: string, schema: z.ZodType<T>): Promise<SettingsOutcome<T>> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        return {
            kind: "invalid",
            faults: [{ path: "(file)", expected: `a readable file: ${(error as Error).message}` }],
        };
    }
    let raw: unknown;
    try {
        raw = JSON.parse(text);
    }
    catch (error) {
        return { kind: "invalid", faults: [{ path: "(root)", expected: `JSON: ${(error as Error).message}` }] };
    }
    const parsed = schema.safeParse(raw);
    if (!parsed.success) {
        return { kind: "invalid", faults: describeFaults(parsed.error) };
    }
    return { kind: "loaded", settings: parsed.data };
}
