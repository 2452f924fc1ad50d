import type { CallRecord } from "../../callers/CallRecord.js";
import { LatencyRecorder } from "./LatencyRecorder.js";

/** Sums up the calls due in a span of time: goodput, latency (first token: streamed calls only), refusals, errors. */
export function summarizeCalls(
    records: readonly CallRecord[],
    fromMs: number,
    toMs: number,
): Record<string, number> {
    const due = records.filter(record => record.startedAtMs >= fromMs && record.startedAtMs < toMs);
    const whole = due.filter(record => record.finalClass === "correct");
    const first = LatencyRecorder.of(whole.filter(record => record.isStreamed).map(record => record.firstPartMs));
    const total = LatencyRecorder.of(whole.map(record => record.totalMs));
    const classes = due.flatMap(record => record.attempts).map(attempt => attempt.responseClass);
    const count = (name: string) => classes.filter(responseClass => responseClass === name).length;
    return {
        calls: due.length,
        goodputPerSecond: whole.length / ((toMs - fromMs) / 1000),
        notWhole: due.length - whole.length,
        firstTokenP50Ms: first.percentileMs(50),
        firstTokenP99Ms: first.percentileMs(99),
        wholeP50Ms: total.percentileMs(50),
        wholeP99Ms: total.percentileMs(99),
        refusedAttempts: count("refused-did-not-run") + count("refused-unknown"),
        cutAttempts: count("truncated"),
        wrongAttempts: count("wrong") + count("duplicated"),
    };
}
