import type { Random } from "@fescuehaven/runtime";

interface BackoffOptions {
    random: Random;
    /** First wait. */
    firstMs: number;
    /** Longest wait. */
    maxMs: number;
}

/** Exponential backoff: each wait is twice the last up to a maximum, shortened at random by up to half. */
export class Backoff {
    private failures = 0;

    private constructor(private readonly options: BackoffOptions) {}

    /** Creates a backoff without failures. */
    static create(options: BackoffOptions): Backoff {
        return new Backoff(options);
    }

    /** Counts a failure and returns the wait before the next attempt. */
    nextMs(): number {
        const { random, firstMs, maxMs } = this.options;
        const fullMs = Math.min(maxMs, firstMs * 2 ** Math.min(this.failures, 30));
        this.failures += 1;
        return fullMs * (1 - random.next() / 2);
    }

    /** Resets the wait after a success. */
    reset(): void {
        this.failures = 0;
    }
}
