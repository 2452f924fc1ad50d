import type { Clock, Random } from "@fescuehaven/runtime";

/** What an experiment runs with. */
export interface ExperimentContext {
    clock: Clock;
    /** For what need not repeat, such as the network. */
    random: Random;
    seed: number;
    /** Folder of the built binaries. */
    binaries: string;
    /** Length of one measured phase, ms. */
    phaseMs: number;
    /** Tells how far the experiment is. */
    note: (line: string) => void;
}
