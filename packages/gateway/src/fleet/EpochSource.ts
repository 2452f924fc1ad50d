import type { UpstreamDirectory } from "../UpstreamDirectory.js";

/** Epochs of one term: the term stands in the bits above. */
const EPOCHS_PER_TERM = 65_536;

/** Numbers groups: each epoch is above all of earlier terms and above all that upstreams have shown. */
export class EpochSource {
    private last = 0;

    private constructor(private readonly upstreams: UpstreamDirectory) {}

    /** Creates a source; it numbers from `start` on. */
    static create(upstreams: UpstreamDirectory): EpochSource {
        return new EpochSource(upstreams);
    }

    /** Begins a term. */
    start(term: number): void {
        this.last = term * EPOCHS_PER_TERM;
    }

    /** A new epoch. */
    next(): number {
        for (const { group } of this.upstreams.all()) {
            this.last = Math.max(this.last, group?.epoch ?? 0);
        }
        this.last += 1;
        return this.last;
    }
}
