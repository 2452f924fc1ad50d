import yargs, { type Argv } from "yargs";
import { addExplainCommand } from "./addExplainCommand.js";
import { addObjectCommands } from "./addObjectCommands.js";
import { addOperationCommands } from "./addOperationCommands.js";
import { addSettingsCommand } from "./addSettingsCommand.js";
import type { ContextOutcome } from "./ContextOutcome.js";
import { exitCodes } from "./exitCodes.js";
import type { GlobalArguments } from "./GlobalArguments.js";
import type { ExplanationReader } from "./ports/ExplanationReader.js";
import type { Output } from "./ports/Output.js";
import type { RunCommand } from "./RunCommand.js";

const globalOptions = {
    config: {
        type: "string",
        default: process.env["FESCUE_CONFIG"] ?? "fescue.json",
        describe: "configuration file; also FESCUE_CONFIG",
    },
    output: { choices: ["table", "json"] as const, default: "table" as const, describe: "tables or JSON" },
    user: { type: "string", describe: "operator's name in maintenance intents; default: the operating system's user" },
} as const;

/**
 * Parses the command line, runs the command, and sets the exit code of the process. Exits at once if the command line is
 * invalid.
 */
export async function runCli(
    argv: readonly string[],
    createContext: (args: GlobalArguments) => Promise<ContextOutcome>,
    output: Output,
    explanations: ExplanationReader,
): Promise<void> {
    const interrupted = new AbortController();
    process.on("SIGINT", () => interrupted.abort());

    const run: RunCommand = async (args, command) => {
        const created = await createContext(args);
        if (created.kind === "invalid") {
            created.errors.forEach(error =>
                process.stderr.write(`fescue: ${args.config}: ${error.path}: ${error.expected}\n`)
            );
            process.exitCode = exitCodes.invalid;
            return;
        }
        process.exitCode = exitCodes[await command(created.context)];
        await created.close();
    };

    const cli: Argv<GlobalArguments> = yargs(argv)
        .scriptName("fescue")
        .usage("$0 COMMAND\n\nOperates fescuehaven by writing objects and watching their status.")
        .options(globalOptions);
    addObjectCommands(cli, run, interrupted.signal);
    addOperationCommands(cli, run);
    addSettingsCommand(cli, output);
    addExplainCommand(cli, explanations, output);
    await cli
        .completion("completion", "Print a completion script for the shell")
        .demandCommand(1, "a command is required")
        .recommendCommands()
        .strict()
        .fail((message, error) => {
            process.stderr.write(`fescue: ${message ?? error.message}\n`);
            process.exit(exitCodes.invalid);
        })
        .parseAsync();
}
