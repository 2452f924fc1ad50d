/** Counters, gauges and timings of a process. The name of a metric with a unit ends in it, such as `_ms`. */
export interface Metrics {
    /** Adds `by` (1 when left out) to a counter. */
    increment(name: string, by?: number, tags?: Record<string, string>): void;
    /** Sets a gauge. */
    gauge(name: string, value: number, tags?: Record<string, string>): void;
    /** Records a duration. */
    timing(name: string, durationMs: number, tags?: Record<string, string>): void;
}
