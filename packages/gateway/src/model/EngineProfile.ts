import type { ModelProfile } from "./ModelProfile.js";
import type { ZoneDelay } from "./ZoneDelay.js";

/** Speed and limits of a service's engines. */
export interface EngineProfile {
    models: readonly ModelProfile[];
    /** Number of requests that one group processes concurrently. */
    slots: number;
    /** Number of tokens of requests that the memory of one group holds; undefined if it is not to be observed. */
    kvCacheTokens?: number;
    /** Number of token steps that one engine pass executes. */
    stepsPerPass: number;
    /** Base duration of a step. */
    stepMs: number;
    /** Time that each decoding request adds to a step. */
    stepMsPerRequest: number;
    /** Time that each thousand tokens of context add to a step. */
    stepMsPerThousandTokens: number;
    prefillTokensPerMs: number;
    /** Prefill time per million pairs of a prompt token and an earlier token. */
    prefillMsPerMillionPairs: number;
    /** Maximum number of prompt tokens that one step prefills. */
    prefillChunkTokens: number;
    /** Mean sizes of the service's requests. */
    typicalRequest: { promptTokens: number; answerTokens: number; };
    /** Number of weight loads that may start per second, over all upstreams. */
    weightLoadsPerSecond: number;
    /** Number of concurrent weight loads that run at full speed. */
    concurrentWeightLoads: number;
    /** Time from the open order until a group serves. */
    formationMs: number;
    /** One-way latencies between zones as configured, not checked; absent where none are configured. */
    zoneDelays?: readonly ZoneDelay[];
}
