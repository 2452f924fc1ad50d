import type { Output } from "../ports/Output.js";

/** Writes to standard output and standard error. */
export class ConsoleOutput implements Output {
    private constructor() {}

    /** Creates the output. */
    static create(): ConsoleOutput {
        return new ConsoleOutput();
    }

    /** Writes a line to standard output. */
    line(text: string): void {
        process.stdout.write(`${text}\n`);
    }

    /** Writes a line to standard error. */
    error(text: string): void {
        process.stderr.write(`fescue: ${text}\n`);
    }
}
