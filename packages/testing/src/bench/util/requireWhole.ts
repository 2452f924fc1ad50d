/** Throws an error that contains `detail` unless a response was complete. */
export function requireWhole(isComplete: boolean, detail: unknown): void {
    if (!isComplete) {
        throw new Error(`A response was incomplete or wrong: ${JSON.stringify(detail)}.`);
    }
}
