import type { Comparison } from "./Comparison.js";
import { simulateSpares } from "./simulateSpares.js";
import { spareScenarios } from "./spareScenarios.js";

/** Compares best fit with first fit, and ways of handling a lost member, with the same failure trace. */
export const comparePlacement: Comparison = {
    description: "best fit against first fit, and replacing lost members with spares against waiting",
    run: async seed =>
        spareScenarios(seed).map(scenario => ({
            title: scenario.name,
            rows: simulateSpares(scenario).map(result => ({ ...result })),
        })),
};
