/** Counters, gauges and timings of a process. Names carry their unit. */
export interface Metrics {
    /** Adds `by` (1 when left out) to a counter. */
    increment(name: string, by?: number, tags?: Record<string, string>): void;
    /** Sets a gauge. */
    gauge(name: string, value: number, tags?: Record<string, string>): void;
    /** Records a duration. */
    timing(name: string, durationMs: number, tags?: Record<string, string>): void;
}
