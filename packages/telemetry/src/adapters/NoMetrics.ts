import type { Metrics } from "../ports/Metrics.js";

/** Discards all metrics, for processes without a statsd receiver. */
export class NoMetrics implements Metrics {
    private constructor() {}

    /** Creates the metrics. */
    static create(): NoMetrics {
        return new NoMetrics();
    }

    /** Does nothing. */
    increment(): void {}
    /** Does nothing. */
    gauge(): void {}
    /** Does nothing. */
    timing(): void {}
}
