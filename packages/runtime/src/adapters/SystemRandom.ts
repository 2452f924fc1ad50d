import { randomUUID } from "node:crypto";
import type { Random } from "../ports/Random.js";

/** Random numbers and UUIDs from Node.js. */
export class SystemRandom implements Random {
    private constructor() {}

    /** Creates the random source. */
    static create(): SystemRandom {
        return new SystemRandom();
    }

    /** Returns a number in [0, 1). */
    next(): number {
        return Math.random();
    }

    /** Returns a random UUID. */
    uniqueId(): string {
        return randomUUID();
    }
}
