import { mkdir, writeFile } from "node:fs/promises";
import path from "node:path";
import type { ExperimentResult } from "../ExperimentResult.js";
import { drawChart } from "./drawChart.js";

/** Writes a result as JSON and, if `chart` is set, a chart as SVG; returns the paths of the files. */
export async function writeResult(options: {
    folder: string;
    name: string;
    seed: number;
    startedAt: Date;
    result: ExperimentResult;
    chart: boolean;
}): Promise<string[]> {
    const { folder, name, seed, startedAt, result, chart } = options;
    await mkdir(folder, { recursive: true });
    const stem = path.join(folder, `${name}-${startedAt.toISOString().replaceAll(/[:.]/g, "-")}`);
    const content = { experiment: name, seed, startedAt: startedAt.toISOString(), ...result };
    await writeFile(`${stem}.json`, `${JSON.stringify(content, undefined, 4)}\n`);
    if (!chart) {
        return [`${stem}.json`];
    }
    await writeFile(`${stem}.svg`, drawChart(name, result));
    return [`${stem}.json`, `${stem}.svg`];
}
