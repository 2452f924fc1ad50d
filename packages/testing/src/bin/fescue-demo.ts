import { SystemClock, SystemRandom } from "@fescuehaven/runtime";
import path from "node:path";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Demo } from "../demo/Demo.js";

const args = await yargs(hideBin(process.argv))
    .scriptName("fescue-demo")
    .usage("$0 [--keep]\n\nStarts a complete system on loopback, sends calls and checks the responses.")
    .option("keep", { type: "boolean", default: false, describe: "leave the system running until Ctrl-C" })
    .strict()
    .parseAsync();
const demo = await Demo.create({
    clock: SystemClock.create(),
    random: SystemRandom.create(),
    root: path.resolve(import.meta.dirname, ".."),
    print: line => console.log(line),
});
try {
    const isComplete = await demo.run();
    process.exitCode = isComplete ? 0 : 1;
    if (args.keep) {
        demo.printAddresses();
        await new Promise(() => setInterval(() => undefined, 60_000));
    }
}
catch (error) {
    console.error((error as Error).message);
    process.exitCode = 1;
}
await demo.stop();
