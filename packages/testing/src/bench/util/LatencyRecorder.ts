import { build, type Histogram } from "hdr-histogram-js";

/** Resolution of the histogram: values are kept in microseconds. */
const MICROSECONDS_PER_MS = 1000;

/** Latencies in an HDR histogram. */
export class LatencyRecorder {
    private readonly histogram: Histogram = build({ numberOfSignificantValueDigits: 3 });

    private constructor() {}

    /** Creates a recorder without values. */
    static create(): LatencyRecorder {
        return new LatencyRecorder();
    }

    /** A recorder with values. */
    static of(valuesMs: readonly number[]): LatencyRecorder {
        const recorder = new LatencyRecorder();
        valuesMs.forEach(value => recorder.record(value));
        return recorder;
    }

    /** Takes a latency, ms. */
    record(latencyMs: number): void {
        this.histogram.recordValue(Math.max(0, Math.round(latencyMs * MICROSECONDS_PER_MS)));
    }

    /** Value that `percent` of the latencies do not pass, ms; 0 without any. */
    percentileMs(percent: number): number {
        return this.histogram.totalCount === 0
            ? 0
            : this.histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MS;
    }
}
