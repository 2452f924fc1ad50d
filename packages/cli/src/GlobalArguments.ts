import type { CommandContext } from "./CommandContext.js";

/** What the command line says for every command. */
export interface GlobalArguments {
    /** Path of the configuration file. */
    config: string;
    output: CommandContext["format"];
    /** Operator's name; left out: the system's user. */
    user?: string;
}
