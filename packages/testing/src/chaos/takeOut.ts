import type { MaintenanceIntent } from "@fescuehaven/resources";
import type { FaultContext } from "./FaultContext.js";
import type { PlannedFault } from "./PlannedFault.js";
import { persistently } from "./util/persistently.js";

/** Part of the time after which the second operator's intent joins the first one's, and the first one's goes. */
const SECOND_PART = 0.3;
const FIRST_ENDS_PART = 0.6;

/** Takes a target out of service by the intents of two operators that overlap, and brings it back. */
export async function takeOut(
    { system, clock, state }: FaultContext,
    { target, durationMs }: PlannedFault,
    kind: MaintenanceIntent["target"]["kind"],
): Promise<void> {
    const write = async (requestedBy: string) => {
        const name = state.intentName(target);
        const value = { target: { kind, name: target }, reason: "planned work", requestedBy };
        await persistently(
            clock,
            `intent ${name}`,
            () => system.platform.put({ kind: "maintenance-intent", name, value }),
        );
        return name;
    };
    const remove = async (name: string) =>
        persistently(clock, `end of intent ${name}`, () => system.platform.remove("maintenance-intent", name));
    const first = await write("operator-1");
    await clock.sleep(durationMs * SECOND_PART);
    const second = await write("operator-2");
    await clock.sleep(durationMs * (FIRST_ENDS_PART - SECOND_PART));
    await remove(first);
    await clock.sleep(durationMs * (1 - FIRST_ENDS_PART));
    await remove(second);
}
