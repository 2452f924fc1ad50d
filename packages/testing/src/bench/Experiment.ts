import type { ExperimentContext } from "./ExperimentContext.js";
import type { ExperimentResult } from "./ExperimentResult.js";

/** An experiment on real processes. */
export interface Experiment {
    /** One sentence for people. */
    description: string;
    run(context: ExperimentContext): Promise<ExperimentResult>;
}
