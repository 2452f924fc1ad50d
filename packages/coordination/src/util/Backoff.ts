import type { Random } from "@fescuehaven/runtime";

/** Options of `Backoff`. */
interface BackoffOptions {
    random: Random;
    /** First wait, ms. */
    firstMs: number;
    /** Longest wait, ms. */
    maxMs: number;
}

/** Waits between retries: doubling up to a cap, each shortened at random by up to half. */
export class Backoff {
    private failures = 0;

    private constructor(private readonly options: BackoffOptions) {}

    /** Creates a backoff without failures. */
    static create(options: BackoffOptions): Backoff {
        return new Backoff(options);
    }

    /** Counts a failure and yields the wait before the next try, ms. */
    nextMs(): number {
        const { random, firstMs, maxMs } = this.options;
        const fullMs = Math.min(maxMs, firstMs * 2 ** Math.min(this.failures, 30));
        this.failures += 1;
        return fullMs * (1 - random.next() / 2);
    }

    /** Forgets the failures after a success. */
    reset(): void {
        this.failures = 0;
    }
}
