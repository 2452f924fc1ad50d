/** Weight of the newest response in the moving average. */
const AVERAGE_WEIGHT = 0.2;
/** An upstream is an outlier when it is this many times slower than the median. */
const OUTLIER_FACTOR = 2;
/** With fewer measured upstreams, the slowdown factor is 1. */
const MIN_MEASURED = 2;

/** Tracks the time per token of each upstream, so that slow outliers get fewer requests. */
export class TokenLatencyTracker {
    private readonly averages = new Map<string, number>();

    private constructor() {}

    /** Creates a tracker without measurements. */
    static create(): TokenLatencyTracker {
        return new TokenLatencyTracker();
    }

    /** Records a response of `tokenCount` tokens that took `durationMs`. */
    record(upstream: string, tokenCount: number, durationMs: number): void {
        const perTokenMs = durationMs / Math.max(1, tokenCount);
        const average = this.averages.get(upstream);
        this.averages.set(
            upstream,
            average === undefined ? perTokenMs : average + (perTokenMs - average) * AVERAGE_WEIGHT,
        );
    }

    /** Returns how many times slower the upstream is than the median of its alternatives; at least 1. */
    slowdownFactor(upstream: string, alternatives: readonly string[]): number {
        const known = alternatives.map(name => this.averages.get(name)).filter(value => value !== undefined);
        const ownAverage = this.averages.get(upstream);
        if (ownAverage === undefined || known.length < MIN_MEASURED) {
            return 1;
        }
        const sorted = known.sort((a, b) => a - b);
        const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? ownAverage;
        return Math.max(1, ownAverage / Math.max(median, Number.MIN_VALUE));
    }

    /** Returns true when the upstream is an outlier among its alternatives. */
    isOutlier(upstream: string, alternatives: readonly string[]): boolean {
        return this.slowdownFactor(upstream, alternatives) >= OUTLIER_FACTOR;
    }
}
