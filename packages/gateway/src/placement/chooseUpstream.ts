import type { Random } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import { drawTargetZone } from "./drawTargetZone.js";
import { PLAIN_SILENCE_LIMIT_MS } from "./plainSilenceLimitMs.js";
import { sampleWithoutReplacement } from "./sampleWithoutReplacement.js";
import type { SpilloverDecision } from "./SpilloverDecision.js";

/** A plain upstream that accepts the request, with what this gateway knows of it. */
interface UpstreamCandidate {
    upstream: Upstream;
    inFlight: number;
    /** Time since its last response while it had requests in flight. */
    silentMs: number;
    /** Share of recent requests that failed, 0 to 1. */
    failureRate: number;
}

interface CostedUpstream {
    upstream: Upstream;
    /** Requests in flight, and what is added for silence and failures. */
    cost: number;
}

/** Costs that are added to an upstream's requests in flight when upstreams are compared. */
const SUSPECT_COST = 20;
const FAILURE_COST = 12;
/** Cost of another zone's upstream where the choice is made over all zones: traffic between zones is billed. */
const OTHER_ZONE_COST = 0.9;
/** Cost from which an upstream counts as silent, or as failing half of its requests. */
const MAX_ZONE_COST = 6;
/**
 * Upstreams of a zone whose costs differ by less are equal, and one of them is drawn: gateways list upstreams in the same
 * order, and would all choose the first. A failure has less weight after ten seconds.
 */
const EQUAL_COST = 0.25;

/**
 * Chooses the upstream with the lowest cost: of the own zone, or of another one for the share that leaves. Where the drawn
 * zone has none that works, and without a decision, upstreams of all zones are compared.
 */
export function chooseUpstream(
    accepting: readonly UpstreamCandidate[],
    zone: string,
    decision: SpilloverDecision | undefined,
    random: Random,
): CostedUpstream & { leaveReason?: string; } | undefined {
    const candidates = accepting.map(({ upstream, inFlight, silentMs, failureRate }) => ({
        upstream,
        cost: inFlight + (silentMs > PLAIN_SILENCE_LIMIT_MS ? SUSPECT_COST : 0) + failureRate * FAILURE_COST,
    }));
    const costOf = ({ upstream, cost }: CostedUpstream) => cost + (upstream.zone === zone ? 0 : OTHER_ZONE_COST);
    const best = (compared: readonly CostedUpstream[]) =>
        compared.reduce<CostedUpstream | undefined>(
            (known, other) => known && costOf(known) <= costOf(other) ? known : other,
            undefined,
        );
    if (!decision) {
        return best(candidates);
    }
    const targetZone = drawTargetZone(decision, random);
    const leaves = targetZone !== undefined && random.next() < decision.share;
    const bestIn = (name: string | undefined) => {
        const ofZone = candidates.filter(({ upstream, cost }) => upstream.zone === name && cost < MAX_ZONE_COST);
        const lowestCost = Math.min(...ofZone.map(({ cost }) => cost));
        return sampleWithoutReplacement(ofZone.filter(({ cost }) => cost <= lowestCost + EQUAL_COST), 1, random)[0];
    };
    const drawn = leaves ? bestIn(targetZone) : undefined;
    const own = drawn ? undefined : bestIn(zone);
    const chosen = drawn ?? own ?? bestIn(targetZone) ?? best(candidates);
    if (!chosen || chosen.upstream.zone === zone) {
        return chosen;
    }
    return { ...chosen, leaveReason: drawn ? decision.reason : "own zone accepts no request" };
}
