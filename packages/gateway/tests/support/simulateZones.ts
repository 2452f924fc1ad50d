import type { Clock } from "@fescuehaven/runtime";
import { SeededRandom } from "@fescuehaven/testing";
import { chooseGroup } from "../../src/placement/chooseGroup.js";
import { chooseGroupByZone } from "../../src/placement/chooseGroupByZone.js";
import { ColdStartLimiter } from "../../src/placement/ColdStartLimiter.js";
import type { GroupCandidate } from "../../src/placement/GroupCandidate.js";
import { predictPass } from "../../src/placement/predictPass.js";
import type { SpilloverDecision } from "../../src/placement/SpilloverDecision.js";
import { viewSpillover } from "../../src/placement/viewSpillover.js";
import { ZoneSpillover } from "../../src/placement/ZoneSpillover.js";
import { exampleEngine } from "./exampleEngine.js";
import { exampleUpstream } from "./exampleUpstream.js";
import { mostWithin } from "./mostWithin.js";

const ZONES = ["a", "b", "c"];
const GATEWAYS = 130;
const REQUESTS_PER_GATEWAY = 3;
/** A zone of 14 groups serves 176 requests/s; 130 arrive in it on average, which takes 74% of the slots. */
const GROUPS_PER_ZONE = 14;
/** Delay until a gateway learns of another gateway's request, through two hubs. */
const LOAD_DELAY_MS = 400;
const DECISION_INTERVAL_MS = 250;
const QUEUE_INTERVAL_MS = 25;
/** Figures count from here on. */
const WARM_UP_MS = 3000;
const DELAY_MS = 1.4;
const TARGET_MS = 251;
const PROMPT_TOKENS = 714;
/** Bytes of a request and its response, about 4 for each token. */
const BYTES_PER_REQUEST = 4 * (PROMPT_TOKENS + exampleEngine.typicalRequest.answerTokens);
const [large] = exampleEngine.models;

interface Load {
    inFlight: number;
    pendingPrefillTokens: number;
}

/** Conditions that differ from three equal zones. Times are milliseconds since the start. */
interface Scenario {
    durationMs?: number;
    /** Demand of a zone relative to the mean. */
    demand?: (zone: number, nowMs: number) => number;
    isOpen?: (zone: number, nowMs: number) => boolean;
    /** The first zone's heads are cold until then, and accept `coldRequestsPerSecond` each. */
    coldUntilMs?: number;
    coldRequestsPerSecond?: number;
    /** Returns true while gateways see no loads but their own. */
    hidesLoads?: (nowMs: number) => boolean;
    /** True if the demand of all zones is reported. */
    knowsDemand?: boolean;
    /** Gateways with a lower index choose by zones, the others as before; all of them by default. */
    newGateways?: number;
}

interface Outcome {
    /** Fractions of the requests of each zone whose first event is inside the target. */
    inTime: number[];
    /** Requests that are sent to another zone, relative to all requests; repeats count. */
    left: number;
    megabytesPerSecond: number;
    /** Sendings that found their group full, relative to all requests. */
    rejected: number;
    /** Largest number of requests within a second at one cold head. */
    mostPerSecondWhileCold: number;
    /** Parts of the first zone's requests in other zones that each of them got. */
    split: number[];
}

/**
 * Simulates the requests of many gateways in three zones that learn of each other's loads late, with the product's choice of
 * groups. A full group rejects requests, which are sent to up to two others.
 */
export function simulateZones(scenario: Scenario): Outcome {
    const { durationMs = 34_000, demand = () => 1, isOpen = () => true, newGateways = GATEWAYS } = scenario;
    const { coldUntilMs = 0, coldRequestsPerSecond = 0 } = scenario;
    const random = SeededRandom.create(7);
    let elapsedMs = 0;
    const clock: Clock = {
        now: () => new Date(elapsedMs),
        monotonicMs: () => elapsedMs,
        sleep: () => Promise.resolve(),
    };
    const groups = ZONES.flatMap((zone, zoneIndex) =>
        Array.from({ length: GROUPS_PER_ZONE }, (_, index) => ({
            zoneIndex,
            head: exampleUpstream(`${zone}${index}`, { zone, coldUntilMs: zoneIndex === 0 ? coldUntilMs : 0 }),
            now: { inFlight: 0, pendingPrefillTokens: 0 },
            known: { inFlight: 0, pendingPrefillTokens: 0 },
        }))
    );
    const gateways = Array.from({ length: GATEWAYS }, (_, index) => ({
        zoneIndex: index % ZONES.length,
        isNew: index < newGateways,
        spillover: ZoneSpillover.create(ZONES[index % ZONES.length]!),
        decision: undefined as SpilloverDecision | undefined,
        decidedAtMs: -Infinity,
        coldStart: ColdStartLimiter.create({ clock, position: () => ({ index, count: GATEWAYS }) }),
        // Own requests are known at once: the difference to what is known through the hubs.
        ahead: groups.map((): Load => ({ inFlight: 0, pendingPrefillTokens: 0 })),
    }));
    type Gateway = typeof gateways[number];
    const agenda = new Map<number, Array<() => void>>();
    const at = (atMs: number, action: () => void) => {
        const tick = Math.ceil(atMs);
        agenda.set(tick, [...agenda.get(tick) ?? [], action]);
    };
    const change = (gateway: Gateway, group: number, nowMs: number, inFlight: number, tokens: number) => {
        const apply = (load: Load, sign: number) => {
            load.inFlight += sign * inFlight;
            load.pendingPrefillTokens += sign * tokens;
        };
        const { now, known } = groups[group]!;
        apply(now, 1);
        apply(gateway.ahead[group]!, 1);
        at(nowMs + LOAD_DELAY_MS, () => {
            apply(known, 1);
            apply(gateway.ahead[group]!, -1);
        });
    };
    const candidatesOf = (gateway: Gateway, nowMs: number): GroupCandidate[] =>
        groups.flatMap(({ zoneIndex, head, known }, index) => {
            const ahead = gateway.ahead[index]!;
            const shown = scenario.hidesLoads?.(nowMs) ? { inFlight: 0, pendingPrefillTokens: 0 } : known;
            return !isOpen(zoneIndex, nowMs) ? [] : [{
                name: head.id,
                epoch: index,
                model: large!,
                head,
                load: {
                    inFlight: Math.max(0, shown.inFlight + ahead.inFlight),
                    pendingPrefillTokens: Math.max(0, shown.pendingPrefillTokens + ahead.pendingPrefillTokens),
                    silentMs: 0,
                },
                failureRate: 0,
            }];
        });
    const arrivalsPerSecond = GATEWAYS * REQUESTS_PER_GATEWAY / ZONES.length;
    const decide = (gateway: Gateway, nowMs: number) => {
        if (!gateway.decision || nowMs - gateway.decidedAtMs >= DECISION_INTERVAL_MS) {
            gateway.decidedAtMs = nowMs;
            gateway.decision = gateway.spillover.decide(viewSpillover({
                nowMs,
                isStale: false,
                targetMs: TARGET_MS,
                engine: exampleEngine,
                candidates: candidatesOf(gateway, nowMs),
                delayMs: zone => zone === ZONES[gateway.zoneIndex] ? 0 : DELAY_MS,
                coldRequestsPerSecond,
                demandPerSecond: zone =>
                    // The mean over the last second, up to a second old.
                    scenario.knowsDemand
                        ? arrivalsPerSecond * demand(ZONES.indexOf(zone), nowMs - 1000)
                        : undefined,
            }));
        }
        return gateway.decision;
    };
    const counts = ZONES.map(() => ({ all: 0, inTime: 0 }));
    let left = 0;
    let rejected = 0;
    const coldSendings = new Map<number, number[]>();
    const fromFirst = ZONES.map(() => 0);
    const send = (gateway: Gateway, receivedAtMs: number, nowMs: number, avoided: readonly number[]) => {
        const zone = ZONES[gateway.zoneIndex]!;
        const isCounted = receivedAtMs >= WARM_UP_MS;
        const candidates = candidatesOf(gateway, nowMs).filter(({ epoch, head }) =>
            !avoided.includes(epoch) && gateway.coldStart.canSend(head, coldRequestsPerSecond)
        );
        const profile = { zone, promptTokens: PROMPT_TOKENS, targetGapMs: 250 };
        const targetMs = receivedAtMs + TARGET_MS - nowMs;
        const choice = gateway.isNew && avoided.length === 0
            ? chooseGroupByZone(exampleEngine, candidates, { ...profile, targetMs }, decide(gateway, nowMs), random)
            : chooseGroup(exampleEngine, candidates, profile, { count: 3, random });
        if (!choice) {
            // Waits for a slot, as long as it can be served in time.
            if (targetMs > 0) {
                at(nowMs + QUEUE_INTERVAL_MS, () => send(gateway, receivedAtMs, nowMs + QUEUE_INTERVAL_MS, []));
            }
            return;
        }
        const index = choice.candidate.epoch;
        gateway.coldStart.record(choice.candidate.head);
        if (nowMs < choice.candidate.head.coldUntilMs) {
            coldSendings.set(index, [...coldSendings.get(index) ?? [], nowMs]);
        }
        const { now, zoneIndex } = groups[index]!;
        const pathMs = zoneIndex === gateway.zoneIndex ? 0 : DELAY_MS;
        if (isCounted) {
            left += pathMs > 0 ? 1 : 0;
            fromFirst[zoneIndex]! += pathMs > 0 && gateway.zoneIndex === 0 ? 1 : 0;
        }
        if (now.inFlight >= exampleEngine.slots) {
            rejected += isCounted ? 1 : 0;
            if (avoided.length < 2) {
                at(nowMs + 1, () => send(gateway, receivedAtMs, nowMs + 1, [...avoided, index]));
            }
            return;
        }
        const { firstEventMs, decodePassMs } = predictPass(exampleEngine, large!, now, PROMPT_TOKENS);
        const beginsMs = nowMs + firstEventMs + 2 * pathMs;
        counts[gateway.zoneIndex]!.inTime += isCounted && beginsMs - receivedAtMs <= TARGET_MS ? 1 : 0;
        const { answerTokens } = exampleEngine.typicalRequest;
        const endsMs = beginsMs + decodePassMs * answerTokens / exampleEngine.stepsPerPass;
        change(gateway, index, nowMs, 1, PROMPT_TOKENS);
        at(beginsMs, () => change(gateway, index, beginsMs, 0, -PROMPT_TOKENS));
        at(endsMs, () => change(gateway, index, endsMs, -1, 0));
    };
    const chance = REQUESTS_PER_GATEWAY / 1000;
    for (let nowMs = 0; nowMs < durationMs; nowMs++) {
        elapsedMs = nowMs;
        agenda.get(nowMs)?.forEach(action => action());
        agenda.delete(nowMs);
        const factors = ZONES.map((_, zone) => demand(zone, nowMs));
        for (const gateway of gateways) {
            if (random.next() < chance * factors[gateway.zoneIndex]!) {
                counts[gateway.zoneIndex]!.all += nowMs >= WARM_UP_MS ? 1 : 0;
                send(gateway, nowMs, nowMs, []);
            }
        }
    }
    const total = counts.reduce((sum, { all }) => sum + all, 0);
    return {
        inTime: counts.map(({ all, inTime }) => inTime / all),
        left: left / total,
        megabytesPerSecond: left * BYTES_PER_REQUEST / 1e6 / (durationMs - WARM_UP_MS) * 1000,
        rejected: rejected / total,
        mostPerSecondWhileCold: Math.max(0, ...[...coldSendings.values()].map(times => mostWithin(times, 1000))),
        split: fromFirst.slice(1).map(sent => sent / Math.max(1, fromFirst[1]! + fromFirst[2]!)),
    };
}
