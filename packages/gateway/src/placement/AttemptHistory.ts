import type { Clock } from "@fescuehaven/runtime";

/** Attempts of one pool within a period, by how they went. */
interface AttemptCounts {
    begun: number;
    crashed: number;
}

/** Recent attempts of one pool of upstreams: those whose response has begun, and those in which the upstream ended. */
export class AttemptHistory {
    private readonly timesMs: Record<keyof AttemptCounts, number[]> = { begun: [], crashed: [] };

    private constructor(private readonly clock: Clock, private readonly keptMs: number) {}

    /** Creates a history without attempts that keeps them for `keptMs`. */
    static create(clock: Clock, keptMs: number): AttemptHistory {
        return new AttemptHistory(clock, keptMs);
    }

    /** Records an attempt at the current time. */
    record(result: keyof AttemptCounts): void {
        const nowMs = this.clock.monotonicMs();
        const timesMs = this.timesMs[result];
        timesMs.push(nowMs);
        if (timesMs[0]! < nowMs - 2 * this.keptMs) {
            timesMs.splice(0, firstSince(timesMs, nowMs - this.keptMs));
        }
    }

    /** Returns the attempts since a time on the monotonic clock. */
    countsSince(sinceMs: number): AttemptCounts {
        const from = Math.max(sinceMs, this.clock.monotonicMs() - this.keptMs);
        const countOf = (timesMs: readonly number[]) => timesMs.length - firstSince(timesMs, from);
        return { begun: countOf(this.timesMs.begun), crashed: countOf(this.timesMs.crashed) };
    }
}

/** Returns the index of the first time that is not before `sinceMs`; times are in ascending order. */
function firstSince(timesMs: readonly number[], sinceMs: number): number {
    let low = 0;
    let high = timesMs.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if (timesMs[middle]! < sinceMs) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
