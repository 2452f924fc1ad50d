import type { Clock } from "@fescuehaven/runtime";

/** A weight store that serves the reads of several VMs one after the other at a limited rate. */
export class WeightStore {
    private freeAtMs = 0;

    private constructor(private readonly clock: Clock, private readonly giBPerSecond: number) {}

    /** Creates a store with no read in progress. */
    static create(clock: Clock, giBPerSecond: number): WeightStore {
        return new WeightStore(clock, giBPerSecond);
    }

    /** Resolves when the weights have been read or when `signal` aborts; an aborted read still takes its time. */
    async read(weightsGiB: number, signal: AbortSignal): Promise<void> {
        const startMs = Math.max(this.clock.monotonicMs(), this.freeAtMs);
        this.freeAtMs = startMs + (weightsGiB / this.giBPerSecond) * 1000;
        await this.clock.sleep(this.freeAtMs - this.clock.monotonicMs(), signal);
    }
}
