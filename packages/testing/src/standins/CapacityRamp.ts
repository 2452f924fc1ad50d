import type { Clock } from "@fescuehaven/runtime";
import type { EngineBehaviour } from "./EngineBehaviour.js";

/** The number of requests a replica can carry at once; it grows after a cold start with completed requests and time. */
export class CapacityRamp {
    private startedAtMs: number;
    private completed = 0;

    private constructor(private readonly clock: Clock, private readonly behaviour: EngineBehaviour) {
        this.startedAtMs = clock.monotonicMs();
    }

    /** Creates a ramp at its cold capacity. */
    static create(clock: Clock, behaviour: EngineBehaviour): CapacityRamp {
        return new CapacityRamp(clock, behaviour);
    }

    /** Returns to the cold capacity. */
    restart(): void {
        this.startedAtMs = this.clock.monotonicMs();
        this.completed = 0;
    }

    /** Counts a completed request. */
    recordCompletion(): void {
        this.completed += 1;
    }

    /** Returns the number of requests that the replica can carry now. */
    capacity(): number {
        const { coldCapacity, warmCapacity, warmUpCompletedRequests, warmUpMs } = this.behaviour;
        const warmthByRequests = this.completed / warmUpCompletedRequests;
        const warmthByTime = (this.clock.monotonicMs() - this.startedAtMs) / warmUpMs;
        const warmth = Math.min(1, Math.max(warmthByRequests, warmthByTime));
        return Math.floor(coldCapacity + (warmCapacity - coldCapacity) * warmth);
    }
}
