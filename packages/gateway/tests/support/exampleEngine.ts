import type { EngineProfile } from "../../src/model/EngineProfile.js";

/** Engines of two models, as fast as those that the system meets. */
export const exampleEngine: EngineProfile = {
    models: [
        { name: "large", memberCount: 6, demandShare: 0.67, pace: 1, loadMs: 16_000, warmMs: 1600 },
        { name: "small", memberCount: 3, demandShare: 0.33, pace: 0.6, loadMs: 12_000, warmMs: 1100 },
    ],
    slots: 18,
    stepsPerPass: 6,
    stepMs: 6.45,
    stepMsPerRequest: 0.14,
    stepMsPerThousandTokens: 0.0042,
    readTokensPerMs: 56.1,
    readMsPerMillionPairs: 0.309,
    chunkTokens: 2048,
    usual: { promptTokens: 1115, answerTokens: 152 },
    loadsPerSecond: 5.5,
    concurrentLoads: 8,
    formationMs: 300,
};
