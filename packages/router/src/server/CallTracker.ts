import type { Metrics } from "@fescuehaven/telemetry";

/** A call in progress. */
interface TrackedCall {
    /** Ends the count of the call; later calls do nothing. */
    end(): void;
}

/** Counts calls in progress, and rejects new ones once the router drains. */
export class CallTracker {
    private count = 0;
    private draining = false;
    private waiters: Array<() => void> = [];

    private constructor(private readonly metrics: Metrics) {}

    /** Creates a tracker that accepts calls. */
    static create(metrics: Metrics): CallTracker {
        return new CallTracker(metrics);
    }

    /** True once `drain` was called. */
    get isDraining(): boolean {
        return this.draining;
    }

    /** Number of calls in progress. */
    get inProgress(): number {
        return this.count;
    }

    /** Counts a new call; undefined when draining. */
    tryStart(): TrackedCall | undefined {
        if (this.draining) {
            return undefined;
        }
        this.count += 1;
        this.metrics.gauge("calls_in_progress", this.count);
        let isActive = true;
        return {
            end: () => {
                if (isActive) {
                    isActive = false;
                    this.endCall();
                }
            },
        };
    }

    /** Rejects new calls from now on; resolves once those in progress have ended. */
    async drain(): Promise<void> {
        this.draining = true;
        if (this.count > 0) {
            await new Promise<void>(resolve => this.waiters.push(resolve));
        }
    }

    private endCall(): void {
        this.count -= 1;
        this.metrics.gauge("calls_in_progress", this.count);
        if (this.count === 0) {
            this.waiters.splice(0).forEach(wake => wake());
        }
    }
}
