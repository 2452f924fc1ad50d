/** Throws, showing `detail`, unless an answer was whole. */
export function requireWhole(isWhole: boolean, detail: unknown): void {
    if (!isWhole) {
        throw new Error(`An answer was not whole: ${JSON.stringify(detail)}.`);
    }
}
