import type { EngineProfile } from "../model/EngineProfile.js";
import type { ModelProfile } from "../model/ModelProfile.js";
import { predictPass } from "./predictPass.js";

/**
 * Returns the rate, per second, at which streams of typical size start and end at a group that holds a number of them. Each
 * stream takes one pass per event, and each stream that starts meanwhile prolongs one pass by its prefill.
 */
export function groupRate(engine: EngineProfile, model: ModelProfile, streams: number): number {
    const { promptTokens, answerTokens } = engine.typicalRequest;
    const passes = Math.max(1, Math.ceil(answerTokens / engine.stepsPerPass));
    const { passMs } = predictPass(engine, model, { inFlight: 0, pendingPrefillTokens: 0 }, promptTokens);
    const onePassMs = predictPass(engine, model, { inFlight: 1, pendingPrefillTokens: 0 }, 0).decodePassMs;
    const { decodePassMs } = predictPass(engine, model, { inFlight: streams, pendingPrefillTokens: 0 }, 0);
    return 1000 * streams / (passes * decodePassMs + streams * Math.max(0, passMs - onePassMs));
}
