import { measureJournal } from "../experiments/measureJournal.js";

const results = await measureJournal([10, 50, 100, 200, 400, 1000]);
for (const { claimMs, finishMs, ...result } of results) {
    const latencies = [claimMs.p50, claimMs.p99, finishMs.p50, finishMs.p99].map(value => value.toFixed(1)).join(" / ");
    const { policy, callsPerSecond, served, refused, writesPerSecond, writesPerCall } = result;
    const load = `${callsPerSecond}/s, ${served} served, ${refused} refused`;
    const writes = `${writesPerSecond.toFixed(0)} writes/s, ${writesPerCall.toFixed(2)} a call`;
    console.log(`${policy}: ${load}, ${writes}, claim p50/p99 and finish p50/p99 ms ${latencies}`);
}
