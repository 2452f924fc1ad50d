import type { Argv } from "yargs";
import type { CommandOutcome } from "./CommandOutcome.js";
import { checkSettings } from "./commands/checkSettings.js";
import { showSettingsSchema } from "./commands/showSettingsSchema.js";
import { exitCodes } from "./exitCodes.js";
import type { GlobalArguments } from "./GlobalArguments.js";
import type { Output } from "./ports/Output.js";
import { settingsSchemas } from "./settingsSchemas.js";

const settingsBinaries = Object.keys(settingsSchemas) as Array<keyof typeof settingsSchemas>;

async function runSettings(
    output: Output,
    action: "check" | "schema",
    binary: keyof typeof settingsSchemas,
    file: string | undefined,
): Promise<CommandOutcome> {
    if (action === "schema") {
        return showSettingsSchema(output, binary);
    }
    if (file === undefined) {
        output.error("file: the path of the settings file to check is required");
        return "invalid";
    }
    return checkSettings(output, binary, file);
}

/** Adds the command that checks settings files and prints their schemas. It makes no network requests. */
export function addSettingsCommand(cli: Argv<GlobalArguments>, output: Output): Argv<GlobalArguments> {
    return cli
        .command(
            "settings <action> <binary> [file]",
            "Check a settings file, or print its JSON Schema",
            builder =>
                builder
                    .positional("action", { choices: ["check", "schema"] as const, demandOption: true })
                    .positional("binary", { choices: settingsBinaries, demandOption: true })
                    .positional("file", { type: "string" })
                    .example(
                        "$0 settings check fescue-router router.json",
                        "check the file before starting the router",
                    ),
            async args => {
                const outcome = await runSettings(output, args.action, args.binary, args.file);
                process.exitCode = exitCodes[outcome];
            },
        );
}
