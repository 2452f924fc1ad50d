import type { EngineProfile } from "../model/EngineProfile.js";
import type { ModelProfile } from "../model/ModelProfile.js";
import { groupRate } from "./groupRate.js";
import { predictPass } from "./predictPass.js";

/**
 * Returns the rate, per second, at which one group can start streams of typical size whose first event comes within the
 * target: that of a group with as many streams as its slots and the target allow.
 */
export function groupCapacity(engine: EngineProfile, model: ModelProfile, targetMs: number): number {
    const { promptTokens } = engine.typicalRequest;
    let streams = engine.slots;
    while (streams > 1) {
        const load = { inFlight: streams - 1, pendingPrefillTokens: 0 };
        if (predictPass(engine, model, load, promptTokens).firstEventMs <= targetMs) {
            break;
        }
        streams -= 1;
    }
    return groupRate(engine, model, streams);
}
