import { ConsoleOutput } from "../adapters/ConsoleOutput.js";
import { createCommandContext } from "../adapters/createCommandContext.js";
import { HttpExplanationReader } from "../adapters/HttpExplanationReader.js";
import { runCli } from "../runCli.js";

/** Longest wait for a gateway's explanation. */
const EXPLANATION_TIMEOUT_MS = 5000;

const explanations = HttpExplanationReader.create(EXPLANATION_TIMEOUT_MS);
await runCli(process.argv.slice(2), createCommandContext, ConsoleOutput.create(), explanations);
