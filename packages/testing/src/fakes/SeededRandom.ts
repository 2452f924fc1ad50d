import type { Random } from "@fescuehaven/runtime";

/** A repeatable random number generator (mulberry32). */
export class SeededRandom implements Random {
    private idCount = 0;

    private constructor(private state: number, private readonly prefix: string) {}

    /** Creates a generator; generators with the same seed and prefix return the same values. */
    static create(seed: number, prefix = "id"): SeededRandom {
        return new SeededRandom(seed >>> 0, prefix);
    }

    /** Returns a number in [0, 1). */
    next(): number {
        this.state = (this.state + 0x6d2b79f5) >>> 0;
        let mixed = this.state;
        mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    }

    /** Returns the prefix with a counter. */
    uniqueId(): string {
        this.idCount += 1;
        return `${this.prefix}-${this.idCount}`;
    }
}
