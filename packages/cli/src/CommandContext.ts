import type { Peer } from "@fescuehaven/coordination";
import type { ObjectStore } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { Output } from "./ports/Output.js";
import type { ProcessReader } from "./ports/ProcessReader.js";

/** What every command works with. */
export interface CommandContext {
    store: ObjectStore;
    processes: readonly Peer[];
    reader: ProcessReader;
    output: Output;
    clock: Clock;
    random: Random;
    /** Operator's name, written into intents. */
    user: string;
    /** `json`: one JSON document for programs. */
    format: "table" | "json";
}
