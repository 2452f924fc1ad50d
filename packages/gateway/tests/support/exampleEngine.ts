import type { EngineProfile } from "../../src/model/EngineProfile.js";

/** Engines of two models with the speed of real ones. */
export const exampleEngine: EngineProfile = {
    models: [
        {
            name: "large",
            memberCount: 6,
            demandShare: 0.67,
            timeFactor: 1,
            loadFromStoreMs: 16_000,
            loadFromHostMs: 1600,
        },
        {
            name: "small",
            memberCount: 3,
            demandShare: 0.33,
            timeFactor: 0.6,
            loadFromStoreMs: 12_000,
            loadFromHostMs: 1100,
        },
    ],
    slots: 18,
    stepsPerPass: 6,
    stepMs: 6.45,
    stepMsPerRequest: 0.14,
    stepMsPerThousandTokens: 0.0042,
    prefillTokensPerMs: 56.1,
    prefillMsPerMillionPairs: 0.309,
    prefillChunkTokens: 2048,
    typicalRequest: { promptTokens: 1115, answerTokens: 152 },
    weightLoadsPerSecond: 5.5,
    concurrentWeightLoads: 8,
    formationMs: 300,
};
