import type { CallRecord } from "../../callers/CallRecord.js";
import { LatencyRecorder } from "./LatencyRecorder.js";

/** Summarizes the calls due in a period: goodput, latency (first token: only streamed calls), refusals and errors. */
export function summarizeCalls(
    records: readonly CallRecord[],
    fromMs: number,
    toMs: number,
): Record<string, number> {
    const due = records.filter(record => record.startedAtMs >= fromMs && record.startedAtMs < toMs);
    const complete = due.filter(record => record.finalClass === "correct");
    const firstTokenTimes = LatencyRecorder.of(
        complete.filter(record => record.isStreamed).map(record => record.firstPartMs),
    );
    const completionTimes = LatencyRecorder.of(complete.map(record => record.totalMs));
    const classes = due.flatMap(record => record.attempts).map(attempt => attempt.responseClass);
    const count = (name: string) => classes.filter(responseClass => responseClass === name).length;
    return {
        calls: due.length,
        goodputPerSecond: complete.length / ((toMs - fromMs) / 1000),
        notWhole: due.length - complete.length,
        firstTokenP50Ms: firstTokenTimes.percentileMs(50),
        firstTokenP99Ms: firstTokenTimes.percentileMs(99),
        wholeP50Ms: completionTimes.percentileMs(50),
        wholeP99Ms: completionTimes.percentileMs(99),
        refusedAttempts: count("refused-did-not-run") + count("refused-unknown"),
        cutAttempts: count("truncated"),
        wrongAttempts: count("wrong") + count("duplicated"),
    };
}
