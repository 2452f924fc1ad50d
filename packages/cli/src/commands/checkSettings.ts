import { loadSettings } from "@fescuehaven/runtime";
import type { CommandOutcome } from "../CommandOutcome.js";
import type { Output } from "../ports/Output.js";
import { settingsSchemas } from "../settingsSchemas.js";

/** Validates a binary's settings file and prints every error with its path. */
export async function checkSettings(
    output: Output,
    binary: keyof typeof settingsSchemas,
    file: string,
): Promise<CommandOutcome> {
    const outcome = await loadSettings<unknown>(file, settingsSchemas[binary]);
    if (outcome.kind === "invalid") {
        outcome.errors.forEach(error => output.error(`${file}: ${error.path}: ${error.expected}`));
        return "invalid";
    }
    output.line(`${file} is valid for ${binary}`);
    return "done";
}
