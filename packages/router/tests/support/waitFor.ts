const DEADLINE_MS = 10_000;

/** Waits until a condition is seen to hold; fails after a generous deadline. */
export async function waitFor(what: string, condition: () => boolean): Promise<void> {
    const deadline = Date.now() + DEADLINE_MS;
    while (!condition()) {
        if (Date.now() > deadline) {
            throw new Error(`Waited too long for ${what}.`);
        }
        await new Promise(resolve => setImmediate(resolve));
    }
}
