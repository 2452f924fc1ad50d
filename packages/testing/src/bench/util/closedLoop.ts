import type { Clock } from "@fescuehaven/runtime";
import { LatencyRecorder } from "./LatencyRecorder.js";
import { UsageMeter } from "./UsageMeter.js";

/** Number of calls before the measurement, to warm up connections and code. */
const WARM_UP_CALLS = 200;

interface ClosedLoopOptions {
    clock: Clock;
    durationMs: number;
    /** Number of concurrent callers, each of which sends one call after the other. */
    callers: number;
    /** Id of the process whose processor time is measured. */
    pid: number;
    /** Sends a call and returns its latency in ms. */
    call: (id: string) => Promise<number>;
}

/** Sends calls in a closed loop from each caller; returns the rate, latency percentiles and processor time. */
export async function closedLoop(options: ClosedLoopOptions): Promise<Record<string, number>> {
    const { clock, durationMs, callers, pid, call } = options;
    await Promise.all(Array.from({ length: callers }, async (_, caller) => {
        for (let count = 0; count < WARM_UP_CALLS / callers; count++) {
            await call(`warm-${caller}-${count}`);
        }
    }));
    const latencies = LatencyRecorder.create();
    const meter = await UsageMeter.create(clock, [pid]);
    const startMs = clock.monotonicMs();
    let calls = 0;
    await Promise.all(Array.from({ length: callers }, async (_, caller) => {
        for (let count = 0; clock.monotonicMs() - startMs < durationMs; count++) {
            latencies.record(await call(`${caller}-${count}`));
            calls += 1;
        }
    }));
    const seconds = (clock.monotonicMs() - startMs) / 1000;
    const [usage] = await meter.read();
    const cpuSeconds = usage?.cpuSeconds ?? Number.NaN;
    return {
        callsPerSecond: calls / seconds,
        p50Ms: latencies.percentileMs(50),
        p95Ms: latencies.percentileMs(95),
        p99Ms: latencies.percentileMs(99),
        cpuMsPerCall: cpuSeconds * 1000 / calls,
        callsPerCoreSecond: calls / cpuSeconds,
    };
}
