import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { compareLedgerLayouts } from "../experiments/compareLedgerLayouts.js";
import { measureLedgerSize } from "../experiments/measureLedgerSize.js";
import { simulateSpares } from "../experiments/simulateSpares.js";
import { spareScenarios } from "../experiments/spareScenarios.js";

const options = await yargs(hideBin(process.argv))
    .scriptName("fescue-claims-bench")
    .usage("$0: compares layouts of the claims and policies of placement, in memory, against named baselines.")
    .option("seed", { type: "number", default: 1, describe: "Seed of the failure trace" })
    .option("json", { type: "boolean", default: false, describe: "Print JSON" })
    .strict()
    .parse();

const zone = { vmCount: 100, memberCount: 8, groupCount: 12 };
const report = {
    layouts: {
        "one controller": await compareLedgerLayouts({ ...zone, controllerCount: 1 }),
        "two controllers": await compareLedgerLayouts({ ...zone, controllerCount: 2 }),
    },
    ledgerBytes: {
        "100 VMs, groups of 8": measureLedgerSize(100, 8),
        "600 VMs, groups of 32": measureLedgerSize(600, 32),
        "4800 VMs, groups of 32": measureLedgerSize(4800, 32),
    },
    spares: Object.fromEntries(
        spareScenarios(options.seed).map(scenario => [scenario.name, simulateSpares(scenario)]),
    ),
};
if (options.json) {
    console.log(JSON.stringify(report, undefined, 2));
}
else {
    Object.entries({ ...report.layouts, ...report.spares }).forEach(([title, rows]) => {
        console.log(title);
        console.table(rows);
    });
    console.table(report.ledgerBytes);
}
