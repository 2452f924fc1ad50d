import type { SchemaError } from "@fescuehaven/runtime";
import type { CommandContext } from "./CommandContext.js";

/** The context of a command, or what is wrong with the configuration file. */
export type ContextOutcome =
    | { kind: "created"; context: CommandContext; close: () => Promise<void>; }
    | { kind: "invalid"; errors: SchemaError[]; };
