import type { CommandContext } from "./CommandContext.js";

/** Command-line options that every command accepts. */
export interface GlobalArguments {
    /** Path of the configuration file. */
    config: string;
    output: CommandContext["format"];
    /** Operator's name; defaults to the name of the operating system's user. */
    user?: string;
}
