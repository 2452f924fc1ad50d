import type { EngineProfile } from "../model/EngineProfile.js";
import type { ModelProfile } from "../model/ModelProfile.js";
import { predictPass } from "./predictPass.js";

/**
 * Returns the rate, per second, at which one group can start streams of typical size whose first event comes within the
 * target. In a group with n streams, each stream takes one pass per event, and each stream that starts meanwhile prolongs
 * one pass by its prefill.
 */
export function groupCapacity(engine: EngineProfile, model: ModelProfile, targetMs: number): number {
    const { promptTokens, answerTokens } = engine.typicalRequest;
    const passes = Math.max(1, Math.ceil(answerTokens / engine.stepsPerPass));
    const idle = predictPass(engine, model, { inFlight: 0, pendingPrefillTokens: 0 }, promptTokens);
    const prefillMs = Math.max(
        0,
        idle.passMs - predictPass(engine, model, { inFlight: 1, pendingPrefillTokens: 0 }, 0).decodePassMs,
    );
    for (let streams = engine.slots; streams > 1; streams--) {
        const load = { inFlight: streams - 1, pendingPrefillTokens: 0 };
        const { firstEventMs, decodePassMs } = predictPass(engine, model, load, promptTokens);
        if (firstEventMs <= targetMs) {
            return 1000 * streams / (passes * decodePassMs + streams * prefillMs);
        }
    }
    return 1000 / (passes * idle.decodePassMs + prefillMs);
}
