import type { ModelProfile } from "./ModelProfile.js";

/** Speed and limits of a service's model engines. */
export interface EngineProfile {
    models: readonly ModelProfile[];
    /** Requests that one group works on at once. */
    slots: number;
    /** Token steps that one pass of the engine executes. */
    stepsPerPass: number;
    /** Time of a step, ms. */
    stepMs: number;
    /** Time that each writing request adds to a step, ms. */
    stepMsPerRequest: number;
    /** Time that each thousand tokens of context add to a step, ms. */
    stepMsPerThousandTokens: number;
    /** Prompt tokens read per millisecond. */
    prefillTokensPerMs: number;
    /** Time per million pairs of a prompt token and an earlier one, ms. */
    prefillMsPerMillionPairs: number;
    /** Most prompt tokens that one step reads. */
    prefillChunkTokens: number;
    /** Mean sizes of the service's requests, tokens. */
    typicalRequest: { promptTokens: number; answerTokens: number; };
    /** Loads that may start per second over all upstreams. */
    weightLoadsPerSecond: number;
    /** Loads that run at full speed side by side. */
    concurrentWeightLoads: number;
    /** Time from the order to open until a group serves, ms. */
    formationMs: number;
}
