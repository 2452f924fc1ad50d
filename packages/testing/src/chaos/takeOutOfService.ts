import type { MaintenanceIntent } from "@fescuehaven/resources";
import type { FaultContext } from "./FaultContext.js";
import type { PlannedFault } from "./PlannedFault.js";
import { retryUntilSuccess } from "./util/retryUntilSuccess.js";

/** Fractions of the duration after which the second intent is written and the first one is removed. */
const SECOND_INTENT_FRACTION = 0.3;
const FIRST_REMOVAL_FRACTION = 0.6;

/** Takes a target out of service with overlapping maintenance intents of two operators, then removes both intents. */
export async function takeOutOfService(
    { system, clock, state }: FaultContext,
    { target, durationMs }: PlannedFault,
    kind: MaintenanceIntent["target"]["kind"],
): Promise<void> {
    const write = async (requestedBy: string) => {
        const name = state.intentName(target);
        const value = { target: { kind, name: target }, reason: "planned work", requestedBy };
        await retryUntilSuccess(
            clock,
            `intent ${name}`,
            () => system.platform.put({ kind: "maintenance-intent", name, value }),
        );
        return name;
    };
    const remove = async (name: string) =>
        retryUntilSuccess(clock, `end of intent ${name}`, () => system.platform.remove("maintenance-intent", name));
    const first = await write("operator-1");
    await clock.sleep(durationMs * SECOND_INTENT_FRACTION);
    const second = await write("operator-2");
    await clock.sleep(durationMs * (FIRST_REMOVAL_FRACTION - SECOND_INTENT_FRACTION));
    await remove(first);
    await clock.sleep(durationMs * (1 - FIRST_REMOVAL_FRACTION));
    await remove(second);
}
