import type { Random } from "@fescuehaven/runtime";
import type { EngineProfile } from "../model/EngineProfile.js";
import { competingRequests } from "./competingRequests.js";
import { fitsMemory } from "./fitsMemory.js";
import type { GroupCandidate } from "./GroupCandidate.js";
import { predictPass } from "./predictPass.js";
import type { RequestTokens } from "./RequestTokens.js";
import { sampleWithoutReplacement } from "./sampleWithoutReplacement.js";

/** Properties of a request that matter for the choice of its group. */
interface RequestProfile {
    zone: string;
    promptTokens: number;
    /** Undefined if the memory of groups is not configured. */
    tokens?: RequestTokens;
    /** Number of other gateways that send requests to the same groups. */
    otherGateways?: number;
    /** Longest pause between events that the route allows. */
    targetGapMs: number;
}

/** Limits the choice to a random sample of the groups. */
interface Sampling {
    /** Number of groups that are compared. */
    count: number;
    random: Random;
}

interface CostedChoice {
    candidate: GroupCandidate;
    /** Predicted time until the first event. */
    firstEventMs: number;
    /** The same with the penalties for another zone, failures and silence. */
    costMs: number;
}

/** The chosen group; undefined if no group can take the request. */
type GroupChoice = CostedChoice | undefined;

/**
 * A group that is silent for longer gets new requests only if no other group can take them. A pass that prefills a full
 * chunk in each step lasts about 250 ms.
 */
const SUSPECT_SILENCE_MS = 270;
/** Penalty for a group of another zone: traffic between zones is billed. */
const OTHER_ZONE_PENALTY_MS = 25;
/** Penalty for a silent group: more than any queueing at a responsive group. */
const SUSPECT_PENALTY_MS = 10_000;
/** Pauses of up to this many predicted passes are normal for a group that also prefills prompts. */
const NORMAL_SLOWNESS = 2.5;
/** Penalty for a group at which all requests fail: a retry costs a wait and a second prefill. */
const FAILURE_PENALTY_MS = 1500;
/** Fraction of the allowed pause that a pass may take; the rest is for the delivery of the event to the caller. */
const MAX_GAP_FRACTION = 0.85;

/**
 * Chooses the group that is expected to respond first, among those with a free slot and memory for the request whose
 * decoding requests are not delayed beyond the pause that the route allows. Prompts can have several thousand tokens, which delay a whole group
 * while they are prefilled, and groups can fail while they serve requests. With `sampling` only some of the groups are
 * compared: where loads become known late, many gateways would otherwise all choose the same group.
 */
export function chooseGroup(
    engine: EngineProfile,
    candidates: readonly GroupCandidate[],
    request: RequestProfile,
    sampling?: Sampling,
): GroupChoice {
    const costed: CostedChoice[] = [];
    const competing = competingRequests(engine, candidates, request);
    for (const candidate of candidates) {
        const { load, model, head } = candidate;
        if (load.inFlight >= engine.slots || !fitsMemory(engine, candidate, request.tokens, competing)) {
            continue;
        }
        const predicted = predictPass(engine, model, load, request.promptTokens);
        const slowness = slownessOf(candidate.meanPauseMs, predicted.decodePassMs);
        const firstEventMs = predicted.firstEventMs * slowness;
        const passMs = predicted.passMs * slowness;
        const delaysOthers = load.pendingPrefillTokens > 0 && passMs > request.targetGapMs * MAX_GAP_FRACTION;
        if (delaysOthers) {
            continue;
        }
        const costMs = firstEventMs
            + (head.zone === request.zone ? 0 : OTHER_ZONE_PENALTY_MS)
            + candidate.failureRate * FAILURE_PENALTY_MS
            + (load.silentMs > SUSPECT_SILENCE_MS ? SUSPECT_PENALTY_MS + load.silentMs : 0);
        costed.push({ candidate, firstEventMs, costMs });
    }
    const healthy = costed.filter(({ costMs }) => costMs < SUSPECT_PENALTY_MS);
    const eligible = healthy.length > 0 ? healthy : costed;
    const compared = sampling ? sampleWithoutReplacement(eligible, sampling.count, sampling.random) : eligible;
    return compared.reduce<CostedChoice | undefined>(
        (best, choice) => best && best.costMs <= choice.costMs ? best : choice,
        undefined,
    );
}

/**
 * Returns the factor by which a group is slower than predicted, derived from the pauses of its streams; 1 if it is not
 * slow.
 */
function slownessOf(meanPauseMs: number | undefined, decodePassMs: number): number {
    return meanPauseMs === undefined ? 1 : Math.max(1, meanPauseMs / (decodePassMs * NORMAL_SLOWNESS));
}
