import type { Argv } from "yargs";
import { applyManifests } from "./commands/applyManifests.js";
import { deleteObject } from "./commands/deleteObject.js";
import { describeObject } from "./commands/describeObject.js";
import { getObjects } from "./commands/getObjects.js";
import { watchObjects } from "./commands/watchObjects.js";
import type { GlobalArguments } from "./GlobalArguments.js";
import type { RunCommand } from "./RunCommand.js";

/** Adds the commands that read and write objects. `interrupted` ends `fescue watch`. */
export function addObjectCommands(
    cli: Argv<GlobalArguments>,
    run: RunCommand,
    interrupted: AbortSignal,
): Argv<GlobalArguments> {
    return cli
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
            "Show one complete object, with its status",
            builder =>
                builder
                    .positional("kind", { type: "string", demandOption: true })
                    .positional("name", { type: "string", demandOption: true }),
            args => run(args, context => describeObject(context, args.kind, args.name)),
        )
        .command(
            "watch <kinds..>",
            "Print changes of objects as they happen",
            builder => builder.positional("kinds", { type: "string", array: true, demandOption: true }),
            args => run(args, context => watchObjects(context, args.kinds, interrupted)),
        )
        .command(
            "delete <kind> <name>",
            "Remove an object",
            builder =>
                builder
                    .positional("kind", { type: "string", demandOption: true })
                    .positional("name", { type: "string", demandOption: true })
                    .option("revision", { type: "number", describe: "remove only if this is the current revision" }),
            args => run(args, context => deleteObject(context, args.kind, args.name, args.revision)),
        );
}
