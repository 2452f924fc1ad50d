import { SystemClock, SystemRandom } from "@fescuehaven/runtime";
import path from "node:path";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { experiments } from "../bench/experiments/experiments.js";
import { formatTable } from "../bench/util/formatTable.js";
import { writeResult } from "../bench/util/writeResult.js";

const MS_PER_SECOND = 1000;

const args = await yargs(hideBin(process.argv))
    .scriptName("fescue-bench")
    .usage("$0 EXPERIMENT\n\nMeasures real processes on loopback and compares them with a baseline in the same run.")
    .command(
        "$0 <experiment>",
        "Run an experiment",
        builder => builder.positional("experiment", { choices: Object.keys(experiments), demandOption: true }),
    )
    .option("seed", { type: "number", default: 1, describe: "seed of the generated load" })
    .option("phase-seconds", { type: "number", default: 5, describe: "duration of one measured phase" })
    .option("chart", { type: "boolean", default: false, describe: "also write an SVG chart" })
    .option("results", { type: "string", default: "results", describe: "folder for the result files" })
    .strict()
    .parseAsync();
const name = args.experiment as string;
const experiment = experiments[name];
if (experiment) {
    const clock = SystemClock.create();
    const startedAt = clock.now();
    console.log(`${name}: ${experiment.description}`);
    const result = await experiment.run({
        clock,
        random: SystemRandom.create(),
        seed: args.seed,
        binaries: path.resolve(import.meta.dirname),
        phaseMs: args.phaseSeconds * MS_PER_SECOND,
        note: line => console.log(`  ${line}`),
    });
    console.log(formatTable(result));
    for (const violation of result.violations ?? []) {
        console.log(`VIOLATION (seed ${args.seed}): ${violation}`);
        process.exitCode = 1;
    }
    const folder = path.resolve(args.results);
    const files = await writeResult({ folder, name, seed: args.seed, startedAt, result, chart: args.chart });
    files.forEach(file => console.log(`wrote ${path.relative(process.cwd(), file)}`));
}
