import type { Clock } from "@fescuehaven/runtime";
import log from "loglevel";
import type { Logger } from "../ports/Logger.js";

/** What a `ConsoleLogger` is made of. */
interface ConsoleLoggerOptions {
    clock: Clock;
    level: "debug" | "info" | "warn" | "error";
    /** `json`: one object a line with `at`, `level`, `part`, `message`. */
    format: "text" | "json";
    /** Prefix of every line: the part of the process that speaks. */
    part: string;
    /** Process name, written in JSON lines. */
    process: string;
}

type Level = ConsoleLoggerOptions["level"];

/** Logs of one part, written to the console by loglevel. */
export class ConsoleLogger implements Logger {
    private readonly logger: log.Logger;

    private constructor(private readonly options: ConsoleLoggerOptions) {
        this.logger = log.getLogger(options.part);
        this.logger.setLevel(options.level, false);
    }

    /** Creates the logger of a part. */
    static create(options: ConsoleLoggerOptions): ConsoleLogger {
        return new ConsoleLogger(options);
    }

    /** Detail for developers. */
    debug(message: string): void {
        this.logger.debug(this.line("debug", message));
    }

    /** Something ordinary happened. */
    info(message: string): void {
        this.logger.info(this.line("info", message));
    }

    /** Something to look at when it persists. */
    warn(message: string): void {
        this.logger.warn(this.line("warn", message));
    }

    /** Something that an operator should see. */
    error(message: string): void {
        this.logger.error(this.line("error", message));
    }

    private line(level: Level, message: string): string {
        const at = this.options.clock.now().toISOString();
        if (this.options.format === "json") {
            return JSON.stringify({ at, level, process: this.options.process, part: this.options.part, message });
        }
        return `${at} ${level} [${this.options.part}] ${message}`;
    }
}
