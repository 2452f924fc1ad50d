import type { Peer } from "@fescuehaven/coordination";
import type { ObjectStore } from "@fescuehaven/platform";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { Output } from "./ports/Output.js";
import type { ProcessReader } from "./ports/ProcessReader.js";

/** Dependencies and global options that every command receives. */
export interface CommandContext {
    store: ObjectStore;
    processes: readonly Peer[];
    reader: ProcessReader;
    output: Output;
    clock: Clock;
    random: Random;
    /** Operator's name, stored in `requestedBy` of maintenance intents. */
    user: string;
    /** Output format; `json` prints JSON for programs. */
    format: "table" | "json";
}
