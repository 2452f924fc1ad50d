import type { Random } from "@fescuehaven/runtime";
import type { SpilloverDecision } from "./SpilloverDecision.js";

/** Draws one of the zones that can take requests, by their parts; undefined if there is none. */
export function drawTargetZone({ targets }: SpilloverDecision, random: Random): string | undefined {
    let remaining = random.next();
    for (const { zone, fraction } of targets) {
        remaining -= fraction;
        if (remaining < 0) {
            return zone;
        }
    }
    return targets.at(-1)?.zone;
}
