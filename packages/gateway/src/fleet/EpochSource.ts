import type { Upstream } from "../model/Upstream.js";
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

    /** Returns the highest term of the epochs that upstreams show; 0 if none belongs to a group. */
    static highestTerm(upstreams: Iterable<Upstream>): number {
        let epoch = 0;
        for (const { group } of upstreams) {
            epoch = Math.max(epoch, group?.epoch ?? 0);
        }
        return Math.floor(epoch / EPOCHS_PER_TERM);
    }

    /** Starts a term. */
    start(term: number): void {
        this.lastEpoch = term * EPOCHS_PER_TERM;
    }

    /** Returns a new epoch. */
    next(): number {
        for (const { group } of this.upstreams.all()) {
            this.lastEpoch = Math.max(this.lastEpoch, group?.epoch ?? 0);
        }
        this.lastEpoch += 1;
        return this.lastEpoch;
    }
}
