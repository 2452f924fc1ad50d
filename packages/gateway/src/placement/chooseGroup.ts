import type { Random } from "@fescuehaven/runtime";
import type { EngineProfile } from "../model/EngineProfile.js";
import type { GroupCandidate } from "./GroupCandidate.js";
import { predictPass } from "./predictPass.js";
import { sampleWithoutReplacement } from "./sampleWithoutReplacement.js";

/** What is placed. */
interface PlacedRequest {
    zone: string;
    promptTokens: number;
    /** Longest pause between events that the route allows, ms. */
    targetGapMs: number;
}

/** Limits the choice to some groups, drawn for each request. */
interface Sampling {
    /** Groups that are compared. */
    count: number;
    random: Random;
}

/** Result of a choice. */
type GroupChoice = { candidate: GroupCandidate; firstEventMs: number; } | undefined;

type PricedChoice = NonNullable<GroupChoice> & { costMs: number; };

/**
 * Silence of a group after which it gets new requests only if no other can take them, ms. A pass that reads a full
 * chunk at each step lasts some 250 ms.
 */
const SUSPECT_SILENCE_MS = 270;
/** Another zone's group must be faster by this much, ms: bytes between zones are priced. */
const OTHER_ZONE_PENALTY_MS = 25;
/** A silent group counts as slower by this much, ms: more than any queue at a live one. */
const SUSPECT_PENALTY_MS = 10_000;
/** Pauses up to this many times the predicted pass are those of a group that also reads prompts. */
const USUAL_SLOWNESS = 2.5;
/** A group whose requests all fail counts as slower by this much, ms: a retry costs a wait and a second reading. */
const FAILURE_PENALTY_MS = 1500;
/** Part of the allowed pause that a pass may fill; the rest is for the way of an event to the caller. */
const GAP_PART = 0.85;

/**
 * Chooses the group that answers first, among those with a free slot whose writing requests are not held up beyond the
 * pause that their route allows. Made for prompts of up to several thousand tokens, which hold up a whole group while
 * they are read, and for groups that die in the middle of their work. With `sampling` only some of the groups are
 * compared: where loads are heard of late, many gateways would all choose the same best one.
 */
export function chooseGroup(
    engine: EngineProfile,
    candidates: readonly GroupCandidate[],
    request: PlacedRequest,
    sampling?: Sampling,
): GroupChoice {
    const priced: PricedChoice[] = [];
    for (const candidate of candidates) {
        const { load, model, head } = candidate;
        if (load.inFlight >= engine.slots) {
            continue;
        }
        const predicted = predictPass(engine, model, load, request.promptTokens);
        const slowness = slownessOf(candidate.meanPauseMs, predicted.writePassMs);
        const firstEventMs = predicted.firstEventMs * slowness;
        const passMs = predicted.passMs * slowness;
        const holdsUpOthers = load.pendingPrefillTokens > 0 && passMs > request.targetGapMs * GAP_PART;
        if (holdsUpOthers) {
            continue;
        }
        const costMs = firstEventMs
            + (head.zone === request.zone ? 0 : OTHER_ZONE_PENALTY_MS)
            + candidate.failureRate * FAILURE_PENALTY_MS
            + (load.silentMs > SUSPECT_SILENCE_MS ? SUSPECT_PENALTY_MS + load.silentMs : 0);
        priced.push({ candidate, firstEventMs, costMs });
    }
    const sound = priced.filter(({ costMs }) => costMs < SUSPECT_PENALTY_MS);
    const eligible = sound.length > 0 ? sound : priced;
    const compared = sampling ? sampleWithoutReplacement(eligible, sampling.count, sampling.random) : eligible;
    return compared.reduce<PricedChoice | undefined>(
        (best, choice) => best && best.costMs <= choice.costMs ? best : choice,
        undefined,
    );
}

/** How many times as long a group takes as it should, read from the pauses of its streams; 1: not slow. */
function slownessOf(meanPauseMs: number | undefined, writePassMs: number): number {
    return meanPauseMs === undefined ? 1 : Math.max(1, meanPauseMs / (writePassMs * USUAL_SLOWNESS));
}
