import type { MaintenanceIntent } from "@fescuehaven/resources";
import yargs from "yargs";
import type { CommandContext } from "./CommandContext.js";
import type { CommandOutcome } from "./CommandOutcome.js";
import { applyManifests } from "./commands/applyManifests.js";
import { checkSettings } from "./commands/checkSettings.js";
import { deleteObject } from "./commands/deleteObject.js";
import { describeObject } from "./commands/describeObject.js";
import { drainTarget } from "./commands/drainTarget.js";
import { getObjects } from "./commands/getObjects.js";
import { showSettingsSchema } from "./commands/showSettingsSchema.js";
import { showStatus } from "./commands/showStatus.js";
import { showTimeline } from "./commands/showTimeline.js";
import { undrainTarget } from "./commands/undrainTarget.js";
import { watchObjects } from "./commands/watchObjects.js";
import type { ContextOutcome } from "./ContextOutcome.js";
import { exitCodes } from "./exitCodes.js";
import type { GlobalArguments } from "./GlobalArguments.js";
import type { Output } from "./ports/Output.js";
import { settingsSchemas } from "./settingsSchemas.js";

const targetKinds = ["vm", "fabric-domain", "availability-zone"] as const satisfies readonly MaintenanceIntent[
    "target"
]["kind"][];

const globalOptions = {
    config: {
        type: "string",
        default: process.env["FESCUE_CONFIG"] ?? "fescue.json",
        describe: "configuration file; also FESCUE_CONFIG",
    },
    output: { choices: ["table", "json"] as const, default: "table" as const, describe: "tables or JSON" },
    user: { type: "string", describe: "operator's name in intents; left out: the system's user" },
} as const;

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
        output.error("file: name the settings file to check");
        return "invalid";
    }
    return checkSettings(output, binary, file);
}

/** Reads the command line, runs the command, and ends the process with its exit code. */
export async function runCli(
    words: readonly string[],
    createContext: (args: GlobalArguments) => Promise<ContextOutcome>,
    output: Output,
): Promise<void> {
    const interrupted = new AbortController();
    process.on("SIGINT", () => interrupted.abort());

    const run = async (args: GlobalArguments, command: (context: CommandContext) => Promise<CommandOutcome>) => {
        const created = await createContext(args);
        if (created.kind === "invalid") {
            created.faults.forEach(fault =>
                process.stderr.write(`fescue: ${args.config}: ${fault.path}: ${fault.expected}\n`)
            );
            process.exitCode = exitCodes.invalid;
            return;
        }
        process.exitCode = exitCodes[await command(created.context)];
        await created.close();
    };

    await yargs(words)
        .scriptName("fescue")
        .usage("$0 COMMAND\n\nOperates fescuehaven by writing objects and watching their status.")
        .options(globalOptions)
        .command(
            "apply <files..>",
            "Create or change objects from JSON files and folders",
            builder =>
                builder
                    .positional("files", { type: "string", array: true, demandOption: true })
                    .option("dry-run", { type: "boolean", default: false, describe: "change nothing" })
                    .option("diff", { type: "boolean", default: false, describe: "show the changed lines" })
                    .example("$0 apply examples", "apply every JSON file of a folder"),
            args => run(args, context => applyManifests(context, args)),
        )
        .command(
            "get <kind> [name]",
            "Show the objects of a kind",
            builder =>
                builder
                    .positional("kind", { type: "string", demandOption: true })
                    .positional("name", { type: "string" })
                    .example("$0 get group-status", "show every group's phase"),
            args => run(args, context => getObjects(context, args.kind, args.name)),
        )
        .command(
            "describe <kind> <name>",
            "Show one object whole, with its status",
            builder =>
                builder
                    .positional("kind", { type: "string", demandOption: true })
                    .positional("name", { type: "string", demandOption: true }),
            args => run(args, context => describeObject(context, args.kind, args.name)),
        )
        .command(
            "watch <kinds..>",
            "Print changes of objects as they come",
            builder => builder.positional("kinds", { type: "string", array: true, demandOption: true }),
            args => run(args, context => watchObjects(context, args.kinds, interrupted.signal)),
        )
        .command(
            "delete <kind> <name>",
            "Remove an object",
            builder =>
                builder
                    .positional("kind", { type: "string", demandOption: true })
                    .positional("name", { type: "string", demandOption: true })
                    .option("revision", { type: "number", describe: "only if it still stands at this revision" }),
            args => run(args, context => deleteObject(context, args.kind, args.name, args.revision)),
        )
        .command(
            "drain <kind> <target>",
            "Take a VM, fabric domain or availability zone out of service",
            builder =>
                builder
                    .positional("kind", { choices: targetKinds, demandOption: true })
                    .positional("target", { type: "string", demandOption: true })
                    .option("reason", { type: "string", demandOption: true, describe: "why, for others to read" })
                    .option("name", { type: "string", describe: "name of the intent" })
                    .example('$0 drain availability-zone zone-a --reason "power work"', "take a zone out"),
            args =>
                run(args, context =>
                    drainTarget(context, {
                        target: { kind: args.kind, name: args.target },
                        reason: args.reason,
                        name: args.name,
                    })),
        )
        .command(
            "undrain <kind> <target>",
            "End your own intents on a target; those of others stand",
            builder =>
                builder
                    .positional("kind", { choices: targetKinds, demandOption: true })
                    .positional("target", { type: "string", demandOption: true })
                    .option("all", { type: "boolean", default: false, describe: "end those of others, too" }),
            args =>
                run(
                    args,
                    context =>
                        undrainTarget(context, { target: { kind: args.kind, name: args.target }, all: args.all }),
                ),
        )
        .command(
            "status",
            "Show groups, active controllers, intents, and the configuration in force",
            builder => builder,
            args => run(args, showStatus),
        )
        .command(
            "timeline",
            "Show the events of all processes in causal order",
            builder =>
                builder
                    .option("request", { type: "string", describe: "only this request id" })
                    .option("group", { type: "string", describe: "only this group" })
                    .option("vm", { type: "string", describe: "only this VM" })
                    .option("zone", { type: "string", describe: "only this availability zone" })
                    .option("limit", { type: "number", describe: "at most this many, the newest" })
                    .option("format", { choices: ["text", "json", "html"] as const, default: "text" as const }),
            args =>
                run(args, context =>
                    showTimeline(context, {
                        requestId: args.request,
                        group: args.group,
                        vm: args.vm,
                        zone: args.zone,
                        limit: args.limit,
                        format: args.format,
                    })),
        )
        .command(
            "settings <action> <binary> [file]",
            "Check a settings file, or print the JSON Schema of one",
            builder =>
                builder
                    .positional("action", { choices: ["check", "schema"] as const, demandOption: true })
                    .positional("binary", { choices: settingsBinaries, demandOption: true })
                    .positional("file", { type: "string" })
                    .example("$0 settings check fescue-router router.json", "check before a start"),
            async args => {
                const outcome = await runSettings(output, args.action, args.binary, args.file);
                process.exitCode = exitCodes[outcome];
            },
        )
        .completion("completion", "Print a completion script for the shell")
        .demandCommand(1, "name a command")
        .recommendCommands()
        .strict()
        .fail((message, error) => {
            process.stderr.write(`fescue: ${message ?? error.message}\n`);
            process.exit(exitCodes.invalid);
        })
        .parseAsync();
}
