import type { Clock } from "@fescuehaven/runtime";
import type { EngineBehaviour } from "./EngineBehaviour.js";

/** What a replica really carries: little after a cold start, more with completed requests and time in service. */
export class CapacityRamp {
    private startedAtMs: number;
    private completed = 0;

    private constructor(private readonly clock: Clock, private readonly behaviour: EngineBehaviour) {
        this.startedAtMs = clock.monotonicMs();
    }

    /** Creates a cold ramp. */
    static create(clock: Clock, behaviour: EngineBehaviour): CapacityRamp {
        return new CapacityRamp(clock, behaviour);
    }

    /** Begins anew. */
    restart(): void {
        this.startedAtMs = this.clock.monotonicMs();
        this.completed = 0;
    }

    /** Counts a completed request. */
    complete(): void {
        this.completed += 1;
    }

    /** Requests carried at once right now. */
    capacity(): number {
        const { coldCapacity, warmCapacity, warmUpCompletedRequests, warmUpMs } = this.behaviour;
        const byWork = this.completed / warmUpCompletedRequests;
        const byTime = (this.clock.monotonicMs() - this.startedAtMs) / warmUpMs;
        const warmth = Math.min(1, Math.max(byWork, byTime));
        return Math.floor(coldCapacity + (warmCapacity - coldCapacity) * warmth);
    }
}
