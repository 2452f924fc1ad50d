import { z } from "zod";
import type { CommandOutcome } from "../CommandOutcome.js";
import type { Output } from "../ports/Output.js";
import { settingsSchemas } from "../settingsSchemas.js";

/** Prints the JSON Schema of a binary's settings file. */
export function showSettingsSchema(output: Output, binary: keyof typeof settingsSchemas): CommandOutcome {
    output.line(JSON.stringify(z.toJSONSchema(settingsSchemas[binary], { io: "input" }), undefined, 2));
    return "done";
}
