import type { Metrics } from "@fescuehaven/telemetry";

/** A call in progress. */
interface TrackedCall {
    /** Counts the call out. */
    leave(): void;
}

/** Counts calls in progress and, once draining, lets no new one in. */
export class CallTracker {
    private count = 0;
    private draining = false;
    private waiters: Array<() => void> = [];

    private constructor(private readonly metrics: Metrics) {}

    /** Creates a tracker that lets calls in. */
    static create(metrics: Metrics): CallTracker {
        return new CallTracker(metrics);
    }

    /** True once `drain` was called. */
    get isDraining(): boolean {
        return this.draining;
    }

    /** Calls in progress. */
    get inProgress(): number {
        return this.count;
    }

    /** Counts a call in; undefined when draining. */
    tryEnter(): TrackedCall | undefined {
        if (this.draining) {
            return undefined;
        }
        this.count += 1;
        this.metrics.gauge("calls_in_progress", this.count);
        let isIn = true;
        return {
            leave: () => {
                if (isIn) {
                    isIn = false;
                    this.leave();
                }
            },
        };
    }

    /** Lets no new call in; resolves once those in progress have ended. */
    async drain(): Promise<void> {
        this.draining = true;
        if (this.count > 0) {
            await new Promise<void>(resolve => this.waiters.push(resolve));
        }
    }

    private leave(): void {
        this.count -= 1;
        this.metrics.gauge("calls_in_progress", this.count);
        if (this.count === 0) {
            this.waiters.splice(0).forEach(wake => wake());
        }
    }
}
