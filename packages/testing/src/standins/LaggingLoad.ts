import type { Clock } from "@fescuehaven/runtime";

/** Largest number of entries kept when the load is never read. */
const HISTORY_LENGTH = 4096;

interface Load {
    runningRequests: number;
    waitingRequests: number;
}

/** An engine's load with the lag that its reports have. */
export class LaggingLoad {
    private history: Array<Load & { atMs: number; }> = [];

    private constructor(private readonly clock: Clock) {}

    /** Creates a history without entries; the load is 0 until one is visible. */
    static create(clock: Clock): LaggingLoad {
        return new LaggingLoad(clock);
    }

    /** Records the current load. */
    record(runningRequests: number, waitingRequests: number): void {
        this.history.push({ atMs: this.clock.monotonicMs(), runningRequests, waitingRequests });
        if (this.history.length > HISTORY_LENGTH) {
            this.history = this.history.slice(-HISTORY_LENGTH / 2);
        }
    }

    /** Returns the load as it was `lagMs` ago and removes older entries. */
    read(lagMs: number): Load {
        const visibleMs = this.clock.monotonicMs() - lagMs;
        const index = this.history.findLastIndex(load => load.atMs <= visibleMs);
        const load = this.history[index];
        this.history = this.history.slice(Math.max(0, index));
        return { runningRequests: load?.runningRequests ?? 0, waitingRequests: load?.waitingRequests ?? 0 };
    }
}
