import type { EngineProfile } from "../model/EngineProfile.js";
import type { IncomingRequest } from "../model/IncomingRequest.js";
import type { RequestTokens } from "./RequestTokens.js";

/**
 * Factor on the expected response. Estimates are right at the median, and where responses of twice and of half the
 * estimate are equally frequent, their mean is above it: 1.27 times for a log-normal spread of 0.7.
 */
const ESTIMATE_MARGIN = 1.3;

/** Estimates the tokens that a request will hold; undefined if the memory of the engine's groups is not configured. */
export function estimateTokens(
    engine: EngineProfile,
    request: Pick<IncomingRequest, "promptTokens" | "maxAnswerTokens" | "expectedAnswerTokens">,
    draw = 0,
    outputTokens = 0,
): RequestTokens | undefined {
    const { kvCacheTokens, typicalRequest, stepsPerPass } = engine;
    if (kvCacheTokens === undefined) {
        return undefined;
    }
    const isStated = request.promptTokens > 0;
    const promptTokens = isStated ? request.promptTokens : typicalRequest.promptTokens;
    const maxAnswerTokens = request.maxAnswerTokens > 0 ? request.maxAnswerTokens : Infinity;
    const stated = request.expectedAnswerTokens ?? 0;
    const expected = Math.min(maxAnswerTokens, stated > 0 ? stated : typicalRequest.answerTokens);
    return {
        promptTokens,
        outputTokens,
        answerTokens: Math.min(maxAnswerTokens, expected * ESTIMATE_MARGIN),
        maxAnswerTokens,
        tokensPerEvent: stepsPerPass,
        isStated,
        draw,
        exceedsMemory: isStated && promptTokens + expected > kvCacheTokens,
    };
}
