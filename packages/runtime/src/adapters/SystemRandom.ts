import { randomUUID } from "node:crypto";
import type { Random } from "../ports/Random.js";

/** Randomness of the machine. */
export class SystemRandom implements Random {
    private constructor() {}

    /** Creates the source. */
    static create(): SystemRandom {
        return new SystemRandom();
    }

    /** A number in [0, 1). */
    next(): number {
        return Math.random();
    }

    /** A random UUID. */
    uniqueId(): string {
        return randomUUID();
    }
}
