import { loadSettings } from "@fescuehaven/runtime";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { z } from "zod";

/** A binary that `runDaemon` runs. */
interface DaemonBinary<T> {
    name: string;
    /** One sentence for `--help`. */
    description: string;
    schema: z.ZodType<T>;
    /** Runs until `stop` aborts; resolves when everything in progress has ended. */
    run: (settings: T, stop: AbortSignal) => Promise<void>;
}

const EXIT_INVALID_SETTINGS = 2;
const EXIT_FAILED = 1;

/** Entry point of a daemon: reads `--settings FILE`, runs, and shuts down gracefully on SIGTERM or SIGINT. */
export async function runDaemon<T>(binary: DaemonBinary<T>): Promise<void> {
    const args = await yargs(hideBin(process.argv))
        .scriptName(binary.name)
        .usage(`$0 --settings FILE\n\n${binary.description}`)
        .option("settings", { type: "string", demandOption: true, describe: "JSON settings file", requiresArg: true })
        .option("check", { type: "boolean", default: false, describe: "check the settings and end" })
        .strict()
        .fail((message, error) => {
            process.stderr.write(`${binary.name}: ${message ?? error.message}\n`);
            process.exit(EXIT_INVALID_SETTINGS);
        })
        .parseAsync();
    const outcome = await loadSettings(args.settings, binary.schema);
    if (outcome.kind === "invalid") {
        for (const error of outcome.errors) {
            process.stderr.write(`${binary.name}: ${args.settings}: ${error.path}: ${error.expected}\n`);
        }
        process.exit(EXIT_INVALID_SETTINGS);
    }
    if (args.check) {
        process.stdout.write(`${args.settings} is valid\n`);
        return;
    }
    const stop = new AbortController();
    process.on("SIGTERM", () => stop.abort());
    process.on("SIGINT", () => stop.abort());
    try {
        await binary.run(outcome.settings, stop.signal);
    }
    catch (error) {
        process.stderr.write(`${binary.name}: ${error instanceof Error ? error.stack : String(error)}\n`);
        process.exit(EXIT_FAILED);
    }
    process.exit(0);
}
