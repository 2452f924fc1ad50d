import { EPOCHS_PER_TERM } from "./epochsPerTerm.js";
import type { ObservedEpochs } from "./ObservedEpochs.js";

/** Generates group epochs. Each is higher than those of earlier terms and those that engines show. */
export class EpochSource {
    private lastEpoch = 0;

    private constructor(private readonly observed: ObservedEpochs) {}

    /** Creates a source. Call `start` before `next`. */
    static create(observed: ObservedEpochs): EpochSource {
        return new EpochSource(observed);
    }

    /** Starts a term. */
    start(term: number): void {
        this.lastEpoch = term * EPOCHS_PER_TERM;
    }

    /** Returns a new epoch. */
    next(): number {
        this.lastEpoch = Math.max(this.lastEpoch, this.observed.highest) + 1;
        return this.lastEpoch;
    }
}
