import type { Clock } from "@fescuehaven/runtime";
import { untilTrue } from "../../util/untilTrue.js";

/** Longest time that an operator tries. */
const DEADLINE_MS = 60_000;

/** Retries an operator's action until it succeeds; throws an error that names `what` when the deadline has passed. */
export async function retryUntilSuccess(
    clock: Clock,
    what: string,
    action: () => Promise<unknown>,
): Promise<void> {
    await untilTrue(clock, what, DEADLINE_MS, async () => {
        await action();
        return true;
    });
}
