/** Returns the largest number of times, in ascending order, that lie within any window of `windowMs`. */
export function mostWithin(timesMs: readonly number[], windowMs: number): number {
    let most = 0;
    let first = 0;
    timesMs.forEach((atMs, index) => {
        while (atMs - timesMs[first]! >= windowMs) {
            first += 1;
        }
        most = Math.max(most, index - first + 1);
    });
    return most;
}
