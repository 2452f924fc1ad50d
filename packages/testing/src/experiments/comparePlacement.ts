import type { Comparison } from "./Comparison.js";
import { simulateSpares } from "./simulateSpares.js";
import { spareScenarios } from "./spareScenarios.js";

/** Best fit against first fit, and what is done about a lost member, under one failure trace. */
export const comparePlacement: Comparison = {
    description: "best fit against first fit, and spares against waiting",
    run: async seed =>
        spareScenarios(seed).map(scenario => ({
            title: scenario.name,
            rows: simulateSpares(scenario).map(result => ({ ...result })),
        })),
};
