import type { EngineProfile } from "../model/EngineProfile.js";
import type { GroupCandidate } from "./GroupCandidate.js";
import { predictPass } from "./predictPass.js";
import type { SpilloverView } from "./SpilloverView.js";

interface SpilloverInputs extends Pick<SpilloverView, "nowMs" | "isStale" | "targetMs"> {
    engine: EngineProfile;
    /** All open groups of the model that can be reached. */
    candidates: readonly GroupCandidate[];
    /** Returns the one-way latency from the own zone; undefined if it is not configured. */
    delayMs: (zone: string) => number | undefined;
    /** Maximum requests per second to a cold head; 0 means no limit. */
    coldRequestsPerSecond: number;
    /** Returns the requests per second that arrive in a zone; undefined if they are not known. */
    demandPerSecond: (zone: string) => number | undefined;
}

/** Occupancy for which the time of a request in its slot is predicted. */
const USUAL_OCCUPANCY = 0.8;

/** Returns what the open groups of each zone can take. Zones without a configured latency are left out. */
export function viewSpillover(inputs: SpilloverInputs): SpilloverView {
    const { engine, candidates, nowMs, isStale, targetMs } = inputs;
    const { promptTokens, answerTokens } = engine.typicalRequest;
    const model = candidates[0]?.model;
    const usualLoad = { inFlight: Math.round(engine.slots * USUAL_OCCUPANCY), pendingPrefillTokens: 0 };
    const usual = model ? predictPass(engine, model, usualLoad, promptTokens) : undefined;
    const holdMs = usual ? usual.firstEventMs + usual.decodePassMs * answerTokens / engine.stepsPerPass : 1;
    const coldSlots = Math.ceil(inputs.coldRequestsPerSecond * holdMs / 1000);
    const zones = new Map<
        string,
        { delayMs: number; groups: Array<SpilloverView["zones"][number]["groups"][number]>; }
    >();
    for (const { head, load, model: ofGroup } of candidates) {
        const delayMs = inputs.delayMs(head.zone);
        if (delayMs === undefined) {
            continue;
        }
        const isLimited = inputs.coldRequestsPerSecond > 0 && head.coldUntilMs > nowMs;
        const zone = zones.get(head.zone) ?? { delayMs, groups: [] };
        zones.set(head.zone, zone);
        zone.groups.push({
            slots: isLimited ? Math.min(engine.slots, coldSlots) : engine.slots,
            inFlight: load.inFlight,
            // A silent group may serve nothing until it is checked.
            firstEventMs: predictPass(engine, ofGroup, load, promptTokens).firstEventMs + load.silentMs,
        });
    }
    return {
        nowMs,
        isStale,
        targetMs,
        holdMs,
        zones: [...zones].map(([zone, { delayMs, groups }]) => ({
            zone,
            delayMs,
            groups,
            demandPerSecond: inputs.demandPerSecond(zone),
        })),
    };
}
