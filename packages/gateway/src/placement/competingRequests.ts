import type { EngineProfile } from "../model/EngineProfile.js";
import type { GroupCandidate } from "./GroupCandidate.js";
import type { RequestTokens } from "./RequestTokens.js";

/** Longest time until other gateways learn of a request: an update each to a hub, to another zone's hub and from it. */
const LOAD_DELAY_MS = 400;

/**
 * Returns how many requests the other gateways are expected to send to any of the groups before this one learns of them,
 * by the requests in flight and the time that one typically takes; 0 where memory does not limit the request.
 */
export function competingRequests(
    { kvCacheTokens, typicalRequest, stepMs }: EngineProfile,
    candidates: readonly GroupCandidate[],
    { tokens, otherGateways = 0 }: { tokens?: RequestTokens; otherGateways?: number; },
): number {
    if (kvCacheTokens === undefined || !tokens?.isStated) {
        return 0;
    }
    const inFlight = candidates.reduce((sum, { load }) => sum + load.inFlight, 0);
    const durationMs = Math.max(1, typicalRequest.answerTokens) * stepMs;
    return inFlight * LOAD_DELAY_MS / durationMs * otherGateways / (otherGateways + 1);
}
