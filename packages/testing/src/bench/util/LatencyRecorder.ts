import { build, type Histogram } from "hdr-histogram-js";

/** The histogram stores values in microseconds. */
const MICROSECONDS_PER_MS = 1000;

/** Records latencies in an HDR histogram. */
export class LatencyRecorder {
    private readonly histogram: Histogram = build({ numberOfSignificantValueDigits: 3 });

    private constructor() {}

    /** Creates an empty recorder. */
    static create(): LatencyRecorder {
        return new LatencyRecorder();
    }

    /** Creates a recorder with the given values. */
    static of(valuesMs: readonly number[]): LatencyRecorder {
        const recorder = new LatencyRecorder();
        valuesMs.forEach(value => recorder.record(value));
        return recorder;
    }

    /** Records a latency; negative values count as 0. */
    record(latencyMs: number): void {
        this.histogram.recordValue(Math.max(0, Math.round(latencyMs * MICROSECONDS_PER_MS)));
    }

    /** Returns the value that `percent` of the latencies do not exceed, or 0 if there are none. */
    percentileMs(percent: number): number {
        return this.histogram.totalCount === 0
            ? 0
            : this.histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MS;
    }
}
