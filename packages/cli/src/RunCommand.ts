import type { CommandContext } from "./CommandContext.js";
import type { CommandOutcome } from "./CommandOutcome.js";
import type { GlobalArguments } from "./GlobalArguments.js";

/** Runs a command in a context made from the command line, and sets the exit code from its outcome. */
export type RunCommand = (
    args: GlobalArguments,
    command: (context: CommandContext) => Promise<CommandOutcome>,
) => Promise<void>;
