import type { Clock } from "@fescuehaven/runtime";
import { untilTrue } from "../../util/untilTrue.js";

/** Longest time that an operator tries, ms. */
const DEADLINE_MS = 60_000;

/** Repeats an operator's action until it succeeds; throws, naming `what`, when it does not in time. */
export async function persistently(clock: Clock, what: string, action: () => Promise<unknown>): Promise<void> {
    await untilTrue(clock, what, DEADLINE_MS, async () => {
        await action();
        return true;
    });
}
