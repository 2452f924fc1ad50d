import type { Logger } from "@fescuehaven/telemetry";

/** A logger that discards all messages. */
export class SilentLogger implements Logger {
    private constructor() {}

    /** Creates the logger. */
    static create(): SilentLogger {
        return new SilentLogger();
    }

    /** Does nothing. */
    debug(): void {}
    /** Does nothing. */
    info(): void {}
    /** Does nothing. */
    warn(): void {}
    /** Does nothing. */
    error(): void {}
}
