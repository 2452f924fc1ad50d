import type { Metrics } from "@fescuehaven/telemetry";

/** Metrics that are discarded. */
export class SilentMetrics implements Metrics {
    private constructor() {}

    /** Creates the metrics. */
    static create(): SilentMetrics {
        return new SilentMetrics();
    }

    /** Does nothing. */
    increment(): void {}
    /** Does nothing. */
    gauge(): void {}
    /** Does nothing. */
    timing(): void {}
}
