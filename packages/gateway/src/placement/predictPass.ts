import type { EngineProfile } from "../model/EngineProfile.js";
import type { ModelProfile } from "../model/ModelProfile.js";

/** Predicted times at a group that gets one more request. */
interface PassPrediction {
    /** Time until the request's first event. */
    firstEventMs: number;
    /** Duration of a pass without prefill, at the load without the request. */
    decodePassMs: number;
    /** Longest pass while the request's prompt is prefilled; the group's decoding requests pause for it. */
    passMs: number;
}

/** Fraction of the current pass that remains on average when a request arrives: it arrives in the middle of a pass. */
const MEAN_REMAINING_PASS_FRACTION = 0.5;

/** Predicts the duration of a group's next passes if it gets a prompt in addition to its load. */
export function predictPass(
    engine: EngineProfile,
    model: ModelProfile,
    load: { inFlight: number; pendingPrefillTokens: number; },
    promptTokens: number,
): PassPrediction {
    const contextTokens = engine.typicalRequest.promptTokens + engine.typicalRequest.answerTokens / 2;
    const stepMsOf = (requests: number) =>
        engine.stepMs + requests * (engine.stepMsPerRequest + engine.stepMsPerThousandTokens * contextTokens / 1000);
    const decodePassMs = engine.stepsPerPass * stepMsOf(load.inFlight) * model.timeFactor;
    const nextPassMs = engine.stepsPerPass * stepMsOf(load.inFlight + 1) * model.timeFactor;
    const tokens = load.pendingPrefillTokens + promptTokens;
    const prefillMs = (tokens / engine.prefillTokensPerMs
        + engine.prefillMsPerMillionPairs * promptTokens * promptTokens / 2e6) * model.timeFactor;
    const passTokens = engine.stepsPerPass * engine.prefillChunkTokens;
    const passes = Math.max(1, Math.ceil(tokens / passTokens));
    return {
        decodePassMs,
        firstEventMs: decodePassMs * MEAN_REMAINING_PASS_FRACTION + prefillMs + nextPassMs * passes,
        passMs: nextPassMs + prefillMs * Math.min(1, passTokens / Math.max(1, tokens)),
    };
}
