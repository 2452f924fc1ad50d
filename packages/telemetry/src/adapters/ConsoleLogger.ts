import type { Clock } from "@fescuehaven/runtime";
import log from "loglevel";
import type { Logger } from "../ports/Logger.js";

interface ConsoleLoggerOptions {
    clock: Clock;
    level: "debug" | "info" | "warn" | "error";
    /** `json`: one object per line with `at`, `level`, `process`, `part` and `message`. */
    format: "text" | "json";
    /** Name of the part of the process that logs, written in every line. */
    part: string;
    /** Process name, written in JSON lines. */
    process: string;
}

type Level = ConsoleLoggerOptions["level"];

/** Logger of one part of a process that writes to the console with loglevel. */
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

    /** Logs details for developers. */
    debug(message: string): void {
        this.logger.debug(this.line("debug", message));
    }

    /** Logs a normal event. */
    info(message: string): void {
        this.logger.info(this.line("info", message));
    }

    /** Logs a problem that needs attention if it persists. */
    warn(message: string): void {
        this.logger.warn(this.line("warn", message));
    }

    /** Logs a problem that an operator should see. */
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
