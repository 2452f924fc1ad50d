import type { Random } from "@fescuehaven/runtime";

/** A repeatable source of randomness (mulberry32). */
export class SeededRandom implements Random {
    private ids = 0;

    private constructor(private state: number, private readonly prefix: string) {}

    /** Creates a source; sources with one seed and prefix yield the same values. */
    static create(seed: number, prefix = "id"): SeededRandom {
        return new SeededRandom(seed >>> 0, prefix);
    }

    /** A number in [0, 1). */
    next(): number {
        this.state = (this.state + 0x6d2b79f5) >>> 0;
        let mixed = this.state;
        mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    }

    /** The prefix and a counter. */
    uniqueId(): string {
        this.ids += 1;
        return `${this.prefix}-${this.ids}`;
    }
}
