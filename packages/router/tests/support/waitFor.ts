const DEADLINE_MS = 10_000;

/** Waits until a condition holds; throws after 10 s. */
export async function waitFor(what: string, condition: () => boolean): Promise<void> {
    const deadline = Date.now() + DEADLINE_MS;
    while (!condition()) {
        if (Date.now() > deadline) {
            throw new Error(`Timed out waiting for ${what}.`);
        }
        await new Promise(resolve => setImmediate(resolve));
    }
}
