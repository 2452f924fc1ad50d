import type { EngineProfile } from "../model/EngineProfile.js";
import type { GroupCandidate } from "./GroupCandidate.js";
import type { RequestTokens } from "./RequestTokens.js";

/** Fraction of a group's memory that is filled; the rest is for responses that are longer than estimated. */
const USED_MEMORY_FRACTION = 0.9;
/** Makes a request's draw differ between groups, evenly spread: the fractional part of the golden ratio. */
const DRAW_STEP = 0.618_033_988_75;

/**
 * Returns true if a group's memory holds a request in addition to its load, at the time when they are expected to hold the
 * most together. A group without requests takes any request that fits without the margins.
 *
 * Other gateways may send up to `competingRequests` to the same memory before this one learns of them. Where the memory
 * does not suffice for as many requests as there are slots, a request therefore needs room for a random number of
 * competing ones, too, so that about as many are sent as there is room for.
 */
export function fitsMemory(
    engine: EngineProfile,
    { load, epoch, peakTokensWith }: Pick<GroupCandidate, "load" | "epoch" | "peakTokensWith">,
    tokens: RequestTokens | undefined,
    competingRequests: number,
): boolean {
    if (engine.kvCacheTokens === undefined || !tokens?.isStated) {
        return true;
    }
    const { promptTokens, answerTokens } = engine.typicalRequest;
    const typicalTokens = promptTokens + answerTokens;
    const ownTokens = tokens.promptTokens + Math.max(tokens.outputTokens, tokens.answerTokens);
    const heldTokens = load.heldTokens ?? load.inFlight * typicalTokens;
    const meanTokens = load.inFlight === 0 ? typicalTokens : heldTokens / load.inFlight;
    const filledTokens = heldTokens + (engine.slots - load.inFlight) * Math.max(ownTokens, meanTokens);
    const draw = (tokens.draw + epoch * DRAW_STEP) % 1;
    const competingTokens = filledTokens <= engine.kvCacheTokens * USED_MEMORY_FRACTION
        ? 0
        : (load.inFlight === 0 ? Math.min(ownTokens, typicalTokens) : ownTokens) * competingRequests * draw;
    if (load.inFlight === 0) {
        return !tokens.exceedsMemory && (competingTokens === 0 || ownTokens + competingTokens <= engine.kvCacheTokens);
    }
    const usableTokens = engine.kvCacheTokens * USED_MEMORY_FRACTION - competingTokens;
    if (heldTokens + ownTokens <= usableTokens) {
        return true;
    }
    return load.heldTokens !== undefined && ownTokens <= usableTokens
        && (peakTokensWith?.(tokens) ?? Infinity) <= usableTokens;
}
