import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { comparisons } from "../experiments/comparisons.js";

const args = await yargs(hideBin(process.argv))
    .scriptName("fescue-compare")
    .usage("$0 COMPARISON\n\nCompares alternative implementations in memory, using the product's own classes.")
    .command(
        "$0 <comparison>",
        "Run a comparison",
        builder => builder.positional("comparison", { choices: Object.keys(comparisons), demandOption: true }),
    )
    .option("seed", { type: "number", default: 1, describe: "seed of the failure trace" })
    .option("json", { type: "boolean", default: false, describe: "print JSON" })
    .strict()
    .parseAsync();
const tables = await comparisons[args.comparison as string]?.run(args.seed) ?? [];
if (args.json) {
    console.log(JSON.stringify(tables, undefined, 2));
}
else {
    for (const { title, rows } of tables) {
        console.log(title);
        console.table(rows);
    }
}
