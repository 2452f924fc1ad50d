import type { Clock } from "@fescuehaven/runtime";

/** Entries kept when nobody reads. */
const HISTORY_LENGTH = 4096;

interface Load {
    runningRequests: number;
    waitingRequests: number;
}

/** An engine's load as its reports show it: as it was some time ago. */
export class LaggingLoad {
    private history: Array<Load & { atMs: number; }> = [];

    private constructor(private readonly clock: Clock) {}

    /** Creates a history without load. */
    static create(clock: Clock): LaggingLoad {
        return new LaggingLoad(clock);
    }

    /** Notes the load as it is now. */
    note(runningRequests: number, waitingRequests: number): void {
        this.history.push({ atMs: this.clock.monotonicMs(), runningRequests, waitingRequests });
        if (this.history.length > HISTORY_LENGTH) {
            this.history = this.history.slice(-HISTORY_LENGTH / 2);
        }
    }

    /** The load as it was `lagMs` ago; forgets what came before. */
    read(lagMs: number): Load {
        const visibleMs = this.clock.monotonicMs() - lagMs;
        const index = this.history.findLastIndex(load => load.atMs <= visibleMs);
        const load = this.history[index];
        this.history = this.history.slice(Math.max(0, index));
        return { runningRequests: load?.runningRequests ?? 0, waitingRequests: load?.waitingRequests ?? 0 };
    }
}
