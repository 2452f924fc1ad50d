import type { Clock } from "@fescuehaven/runtime";

/** Pause between two checks of the condition. */
const POLL_MS = 25;

/**
 * Waits until `condition` is true; throws with `description` if it is not within `deadlineMs`. A condition that throws
 * counts as false.
 */
export async function untilTrue(
    clock: Clock,
    description: string,
    deadlineMs: number,
    condition: () => boolean | Promise<boolean>,
): Promise<void> {
    const endMs = clock.monotonicMs() + deadlineMs;
    for (;;) {
        if (await isTrue(condition)) {
            return;
        }
        if (clock.monotonicMs() >= endMs) {
            throw new Error(`Not within ${deadlineMs} ms: ${description}.`);
        }
        await clock.sleep(POLL_MS);
    }
}

async function isTrue(condition: () => boolean | Promise<boolean>): Promise<boolean> {
    try {
        return await condition();
    }
    catch {
        return false;
    }
}
