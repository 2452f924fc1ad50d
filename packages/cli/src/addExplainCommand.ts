import type { Argv } from "yargs";
import { explainRequest } from "./commands/explainRequest.js";
import { exitCodes } from "./exitCodes.js";
import type { GlobalArguments } from "./GlobalArguments.js";
import type { ExplanationReader } from "./ports/ExplanationReader.js";
import type { Output } from "./ports/Output.js";

/** Adds the command that asks a gateway where a request would go. It needs no configuration file. */
export function addExplainCommand(
    cli: Argv<GlobalArguments>,
    reader: ExplanationReader,
    output: Output,
): Argv<GlobalArguments> {
    return cli.command(
        "explain <gateway> <host> <target>",
        "Show where a request would go now and why, without sending it",
        builder =>
            builder
                .positional("gateway", {
                    type: "string",
                    demandOption: true,
                    describe: "URL of the gateway's metrics address",
                })
                .positional("host", { type: "string", demandOption: true, describe: "host of the request" })
                .positional("target", { type: "string", demandOption: true, describe: "path of the request" })
                .option("model", { type: "string", describe: "model that the request names" })
                .option("prompt-tokens", { type: "number", default: 0, describe: "size of its prompt" })
                .example(
                    "$0 explain http://10.1.0.40:9464 api.example /chat --model m0 --prompt-tokens 700",
                    "ask a gateway",
                ),
        async args => {
            const { gateway, host, target, model, promptTokens } = args;
            const question = { host, target, model, promptTokens };
            const outcome = await explainRequest({ reader, output, gateway, question, format: args.output });
            process.exitCode = exitCodes[outcome];
        },
    );
}
