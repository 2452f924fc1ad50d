import type { ExperimentContext } from "./ExperimentContext.js";
import type { ExperimentResult } from "./ExperimentResult.js";

/** A benchmark of real processes. */
export interface Experiment {
    /** Short description for readers. */
    description: string;
    run(context: ExperimentContext): Promise<ExperimentResult>;
}
