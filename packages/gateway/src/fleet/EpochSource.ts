import type { UpstreamDirectory } from "../UpstreamDirectory.js";

/** Number of epochs in one term: an epoch's lower 16 bits are a counter, the bits above are the term. */
const EPOCHS_PER_TERM = 65_536;

/** Generates group epochs. Each is higher than those of earlier terms and those that registered upstreams show. */
export class EpochSource {
    private lastEpoch = 0;

    private constructor(private readonly upstreams: UpstreamDirectory) {}

    /** Creates a source. Call `start` before `next`. */
    static create(upstreams: UpstreamDirectory): EpochSource {
        return new EpochSource(upstreams);
    }

    /** Returns the highest term in which an upstream has joined its group; 0 if none belongs to a group. */
    static highestTerm(upstreams: UpstreamDirectory): number {
        return Math.floor(upstreams.highestEpoch / EPOCHS_PER_TERM);
    }

    /** Starts a term. */
    start(term: number): void {
        this.lastEpoch = term * EPOCHS_PER_TERM;
    }

    /** Returns a new epoch. */
    next(): number {
        this.lastEpoch = Math.max(this.lastEpoch, this.upstreams.highestEpoch) + 1;
        return this.lastEpoch;
    }
}
