/** Weight of the newest answer in the average. */
const AVERAGE_WEIGHT = 0.2;
/** An upstream is an outlier when it is this many times slower than the median. */
const OUTLIER_FACTOR = 2;
/** With fewer upstreams measured, none can be called an outlier. */
const MIN_MEASURED = 2;

/** How fast each upstream yields tokens, so that slow outliers get less. */
export class TokenPace {
    private readonly averages = new Map<string, number>();

    private constructor() {}

    /** Creates an empty record. */
    static create(): TokenPace {
        return new TokenPace();
    }

    /** Notes an answer of `tokenCount` tokens that took `durationMs`. */
    note(upstream: string, tokenCount: number, durationMs: number): void {
        const perTokenMs = durationMs / Math.max(1, tokenCount);
        const average = this.averages.get(upstream);
        this.averages.set(
            upstream,
            average === undefined ? perTokenMs : average + (perTokenMs - average) * AVERAGE_WEIGHT,
        );
    }

    /** How many times slower the upstream is than the median of its alternatives; at least 1. */
    slowness(upstream: string, alternatives: readonly string[]): number {
        const known = alternatives.map(name => this.averages.get(name)).filter(value => value !== undefined);
        const own = this.averages.get(upstream);
        if (own === undefined || known.length < MIN_MEASURED) {
            return 1;
        }
        const sorted = known.sort((a, b) => a - b);
        const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? own;
        return Math.max(1, own / Math.max(median, Number.MIN_VALUE));
    }

    /** True when the upstream is an outlier among its alternatives. */
    isOutlier(upstream: string, alternatives: readonly string[]): boolean {
        return this.slowness(upstream, alternatives) >= OUTLIER_FACTOR;
    }
}
