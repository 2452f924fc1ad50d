import { expect } from "chai";
import type { ExperimentResult } from "../../src/bench/ExperimentResult.js";
import { drawChart } from "../../src/bench/util/drawChart.js";
import { fitSlope } from "../../src/bench/util/fitSlope.js";
import { formatTable } from "../../src/bench/util/formatTable.js";
import { LatencyRecorder } from "../../src/bench/util/LatencyRecorder.js";
import { readProcessUsage } from "../../src/bench/util/readProcessUsage.js";
import { summarizeCalls } from "../../src/bench/util/summarizeCalls.js";
import type { CallRecord } from "../../src/callers/CallRecord.js";
import type { ResponseClass } from "../../src/callers/ResponseClass.js";

const RESULT: ExperimentResult = {
    baseline: "plain",
    parameters: {},
    rows: [
        { variant: "plain", phase: "a", values: { callsPerSecond: 10 } },
        { variant: "own & <new>", phase: "", values: { callsPerSecond: 20, p50Ms: 1.23456 } },
    ],
    chartColumn: "callsPerSecond",
};

function record(startedAtMs: number, classes: ResponseClass[], totalMs: number): CallRecord {
    const attempts = classes.map(responseClass => ({
        requestId: "",
        router: "",
        responseClass,
        detail: "",
        endedAtMs: 0,
    }));
    const finalClass = classes.at(-1) ?? "truncated";
    return {
        kind: "chat",
        isStreamed: totalMs > 9,
        account: "a",
        startedAtMs,
        attempts,
        finalClass,
        firstPartMs: totalMs / 2,
        totalMs,
    };
}

describe("bench utilities", () => {
    it("fit the slope of a line, even if points lie on both sides of it", () => {
        expect(fitSlope([{ x: 0, y: 1 }, { x: 1, y: 3 }, { x: 2, y: 5 }])).to.be.closeTo(2, 1e-9);
        expect(fitSlope([{ x: 0, y: 0.5 }, { x: 1, y: 1 }, { x: 2, y: 0.5 }])).to.be.closeTo(0, 1e-9);
        expect(fitSlope([{ x: 1, y: 1 }])).to.equal(0);
    });

    it("summarize the calls due in a period", () => {
        const records = [
            record(0, ["correct"], 10),
            record(500, ["refused-did-not-run", "correct"], 30),
            record(900, ["truncated"], 99),
            record(1000, ["correct"], 5),
        ];
        const summary = summarizeCalls(records, 0, 1000);
        expect(summary["firstTokenP50Ms"]).to.be.closeTo(5, 0.01);
        expect(summary).to.include({
            calls: 3,
            goodputPerSecond: 2,
            notWhole: 1,
            refusedAttempts: 1,
            cutAttempts: 1,
            wrongAttempts: 0,
        });
    });

    it("give percentiles within the histogram's resolution", () => {
        const recorder = LatencyRecorder.of(Array.from({ length: 1000 }, (_, index) => index + 1));
        expect(recorder.percentileMs(99)).to.be.closeTo(990, 1);
        expect(LatencyRecorder.create().percentileMs(50)).to.equal(0);
    });

    it("format tables with a dash for values that were not measured, and draw charts", () => {
        expect(formatTable(RESULT).split("\n")).to.deep.equal([
            "variant           phase  callsPerSecond  p50Ms",
            "plain (baseline)  a      10              -",
            "own & <new>              20              1.235",
        ]);
        expect(drawChart("t", RESULT)).to.include("own &amp; &lt;new>").and.to.match(/^<svg /);
    });

    it("read the resource usage of this process", async () => {
        const usage = await readProcessUsage(process.pid);
        expect(usage.cpuSeconds).to.be.greaterThan(0);
        expect(usage.residentMiB).to.be.greaterThan(10);
        expect(usage.transferredBytes).to.be.greaterThan(0);
    });
});
