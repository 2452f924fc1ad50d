import { ConsoleOutput } from "../adapters/ConsoleOutput.js";
import { createCommandContext } from "../adapters/createCommandContext.js";
import { runCli } from "../runCli.js";

await runCli(process.argv.slice(2), createCommandContext, ConsoleOutput.create());
