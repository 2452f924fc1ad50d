import type { Random } from "@fescuehaven/runtime";
import type { EngineProfile } from "../model/EngineProfile.js";
import { chooseGroup } from "./chooseGroup.js";
import { drawTargetZone } from "./drawTargetZone.js";
import type { GroupCandidate } from "./GroupCandidate.js";
import type { SpilloverDecision } from "./SpilloverDecision.js";

type GroupChoice = ReturnType<typeof chooseGroup>;

/** The chosen group; undefined if no group can take the request. */
type ZonedChoice = NonNullable<GroupChoice> & { leaveReason?: string; } | undefined;

interface ZonedRequest {
    /** Zone of this gateway. */
    zone: string;
    promptTokens: number;
    targetGapMs: number;
    /** Time that is left until the first event is late. */
    targetMs: number;
}

/**
 * Number of groups of one zone that are compared. Three of a zone's 14 groups, compared by loads that are 400 ms late, make
 * twice as many requests find their group full: the least loaded groups of a zone are in more samples.
 */
const SAMPLED_GROUPS_OF_ZONE = 2;
/** Number of groups that are compared where no zone that may serve the request does so in time. */
const SAMPLED_GROUPS = 3;
/** Cost beyond the predicted first event up to which a group counts as busy only: it is not silent and seldom fails. */
const MAX_BUSY_COST_MS = 500;

/**
 * Chooses a group of the own zone, or of another zone for the share of the requests that leaves. Where the drawn zone
 * serves no request in time, another one is asked: a caller gains from leaving only if it is served in time there.
 */
export function chooseGroupByZone(
    engine: EngineProfile,
    candidates: readonly GroupCandidate[],
    request: ZonedRequest,
    decision: SpilloverDecision,
    random: Random,
): ZonedChoice {
    const chooseIn = (zone: string) => {
        const ofZone = candidates.filter(({ head }) => head.zone === zone);
        return chooseGroup(engine, ofZone, request, { count: SAMPLED_GROUPS_OF_ZONE, random });
    };
    const isInTime = (choice: GroupChoice) => choice !== undefined && choice.costMs <= request.targetMs;
    const targetZone = drawTargetZone(decision, random);
    const leaves = random.next() < decision.share;
    const other = leaves && targetZone !== undefined ? chooseIn(targetZone) : undefined;
    if (other && isInTime(other)) {
        return { ...other, leaveReason: decision.reason };
    }
    const own = chooseIn(request.zone);
    if (own && isInTime(own)) {
        return own;
    }
    const overflow = !leaves && targetZone !== undefined ? chooseIn(targetZone) : undefined;
    const any = overflow && isInTime(overflow)
        ? overflow
        : chooseGroup(engine, candidates, request, { count: SAMPLED_GROUPS, random });
    // A request that is late everywhere stays, unless the own zone's groups are silent or fail.
    if (own && !isInTime(any) && own.costMs <= own.firstEventMs + MAX_BUSY_COST_MS) {
        return own;
    }
    return any && any.candidate.head.zone !== request.zone
        ? { ...any, leaveReason: "own zone has no group in time" }
        : any;
}
