import type { MaintenanceIntent } from "@fescuehaven/resources";
import type { Argv } from "yargs";
import { drainTarget } from "./commands/drainTarget.js";
import { showStatus } from "./commands/showStatus.js";
import { showTimeline } from "./commands/showTimeline.js";
import { undrainTarget } from "./commands/undrainTarget.js";
import type { GlobalArguments } from "./GlobalArguments.js";
import type { RunCommand } from "./RunCommand.js";

const targetKinds = ["vm", "fabric-domain", "availability-zone"] as const satisfies readonly MaintenanceIntent[
    "target"
]["kind"][];

/** Adds the commands that drain and undrain targets and show the system's status and timeline. */
export function addOperationCommands(cli: Argv<GlobalArguments>, run: RunCommand): Argv<GlobalArguments> {
    return cli
        .command(
            "drain <kind> <target>",
            "Take a VM, fabric domain or availability zone out of service",
            builder =>
                builder
                    .positional("kind", { choices: targetKinds, demandOption: true })
                    .positional("target", { type: "string", demandOption: true })
                    .option("reason", {
                        type: "string",
                        demandOption: true,
                        describe: "reason, shown to other operators",
                    })
                    .option("name", { type: "string", describe: "name of the maintenance intent" })
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
            "End your own maintenance intents for a target; those of other operators remain",
            builder =>
                builder
                    .positional("kind", { choices: targetKinds, demandOption: true })
                    .positional("target", { type: "string", demandOption: true })
                    .option("all", {
                        type: "boolean",
                        default: false,
                        describe: "end those of other operators, too",
                    }),
            args =>
                run(
                    args,
                    context =>
                        undrainTarget(context, { target: { kind: args.kind, name: args.target }, all: args.all }),
                ),
        )
        .command(
            "status",
            "Show groups, active controllers, maintenance intents, and the active configuration revisions",
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
                    .option("limit", { type: "number", describe: "show only this many of the newest events" })
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
        );
}
