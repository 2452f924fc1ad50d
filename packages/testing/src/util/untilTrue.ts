import type { Clock } from "@fescuehaven/runtime";

/** Pause between two looks, ms. */
const POLL_MS = 25;

/** Waits until `condition` holds; throws, naming `what`, when it does not within `deadlineMs`. A rejection is "no". */
export async function untilTrue(
    clock: Clock,
    what: string,
    deadlineMs: number,
    condition: () => boolean | Promise<boolean>,
): Promise<void> {
    const endMs = clock.monotonicMs() + deadlineMs;
    for (;;) {
        if (await holds(condition)) {
            return;
        }
        if (clock.monotonicMs() >= endMs) {
            throw new Error(`Not within ${deadlineMs} ms: ${what}.`);
        }
        await clock.sleep(POLL_MS);
    }
}

async function holds(condition: () => boolean | Promise<boolean>): Promise<boolean> {
    try {
        return await condition();
    }
    catch {
        return false;
    }
}
