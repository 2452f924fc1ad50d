const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Returns true for a status by which callers know that their request has not run and never will. */
export function promisesNotRun(status: number): boolean {
    return promisingStatuses.has(status);
}
