import { loadSettings } from "@fescuehaven/runtime";
import yargs from "yargs";
import type { z } from "zod";

/** Exit code for a wrong flag or an error in the settings. */
const EXIT_USAGE = 2;

interface Standin {
    listen(): Promise<string>;
    close(): Promise<void>;
}

/** Runs a stand-in with its `--settings FILE` until SIGTERM or SIGINT. Exits with code 2 on invalid settings. */
export async function runStandin<T>(
    name: string,
    schema: z.ZodType<T>,
    create: (settings: T) => Standin,
): Promise<void> {
    const parser = yargs(process.argv.slice(2)).scriptName(name).strict().exitProcess(false)
        .option("settings", { type: "string", demandOption: true, describe: "JSON file with the settings" })
        .fail((message: string) => {
            console.error(`${name}: ${message}`);
            process.exit(EXIT_USAGE);
        });
    const { settings: file } = await parser.parseAsync();
    const outcome = await loadSettings(file, schema);
    if (outcome.kind === "invalid") {
        outcome.errors.forEach(error => console.error(`${name}: ${error.path}: expected ${error.expected}`));
        process.exitCode = EXIT_USAGE;
        return;
    }
    const standin = create(outcome.settings);
    console.log(`${name}: serving at ${await standin.listen()}`);
    const stop = () => {
        void standin.close().then(() => process.exit(0));
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
}
