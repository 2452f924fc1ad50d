import type { Metrics } from "../ports/Metrics.js";

/** Metrics of a process without a statsd receiver: they go nowhere. */
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
