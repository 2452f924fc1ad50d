import type { EngineProfile } from "../model/EngineProfile.js";
import type { ModelProfile } from "../model/ModelProfile.js";

/** Predicted times of one more request at a group. */
interface PassPrediction {
    /** Time until the request's first event, ms. */
    firstEventMs: number;
    /** Length of a pass in which nothing is read, at the load of before, ms. */
    writePassMs: number;
    /** Longest pass while its prompt is read, ms; writing requests of the group pause for it. */
    passMs: number;
}

/** On average a request arrives in the middle of a pass. */
const MEAN_PART_OF_PASS_LEFT = 0.5;

/** Predicts what a group's next passes cost if it gets a prompt on top of its load. */
export function predictPass(
    engine: EngineProfile,
    model: ModelProfile,
    load: { inFlight: number; pendingPrefillTokens: number; },
    promptTokens: number,
): PassPrediction {
    const contextTokens = engine.typicalRequest.promptTokens + engine.typicalRequest.answerTokens / 2;
    const stepMsOf = (requests: number) =>
        engine.stepMs + requests * (engine.stepMsPerRequest + engine.stepMsPerThousandTokens * contextTokens / 1000);
    const writePassMs = engine.stepsPerPass * stepMsOf(load.inFlight) * model.timeFactor;
    const nextPassMs = engine.stepsPerPass * stepMsOf(load.inFlight + 1) * model.timeFactor;
    const tokens = load.pendingPrefillTokens + promptTokens;
    const readMs = (tokens / engine.prefillTokensPerMs
        + engine.prefillMsPerMillionPairs * promptTokens * promptTokens / 2e6) * model.timeFactor;
    const passTokens = engine.stepsPerPass * engine.prefillChunkTokens;
    const passes = Math.max(1, Math.ceil(tokens / passTokens));
    return {
        writePassMs,
        firstEventMs: writePassMs * MEAN_PART_OF_PASS_LEFT + readMs + nextPassMs * passes,
        passMs: nextPassMs + readMs * Math.min(1, passTokens / Math.max(1, tokens)),
    };
}
