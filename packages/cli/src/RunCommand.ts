import type { CommandContext } from "./CommandContext.js";
import type { CommandOutcome } from "./CommandOutcome.js";
import type { GlobalArguments } from "./GlobalArguments.js";

/** Creates a context from the command line, runs a command in it, and sets the exit code from the outcome. */
export type RunCommand = (
    args: GlobalArguments,
    command: (context: CommandContext) => Promise<CommandOutcome>,
) => Promise<void>;
