import type { SchemaError } from "@fescuehaven/runtime";
import type { CommandContext } from "./CommandContext.js";

/** The context of a command, or the errors in the configuration file. */
export type ContextOutcome =
    | { kind: "created"; context: CommandContext; close: () => Promise<void>; }
    | { kind: "invalid"; errors: SchemaError[]; };
