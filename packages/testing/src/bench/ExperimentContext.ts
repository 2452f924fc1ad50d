import type { Clock, Random } from "@fescuehaven/runtime";

/** Dependencies and parameters of an experiment. */
export interface ExperimentContext {
    clock: Clock;
    /** Source of values that need not be reproducible, such as the choice of the network. */
    random: Random;
    seed: number;
    /** Folder of the built binaries. */
    binaries: string;
    /** Duration of one measured phase. */
    phaseMs: number;
    /** Prints a progress message. */
    note: (line: string) => void;
}
