import pino from "pino";
import type { DecisionLog } from "../ports/DecisionLog.js";

interface PinoDecisionLogOptions {
    vm: string;
    /** Largest number of lines per second; further lines are dropped and counted. */
    maxLinesPerSecond: number;
    /** Largest number of bytes that wait for a slow reader; further lines are dropped and counted. */
    maxBufferedBytes: number;
    /** Time on a monotonic clock. */
    monotonicMs: () => number;
}

/** Writes JSON lines to standard output asynchronously. */
export class PinoDecisionLog implements DecisionLog {
    private readonly destination: ReturnType<typeof pino.destination>;
    private readonly logger: pino.Logger;
    private windowStartMs = 0;
    private linesInWindow = 0;
    private droppedLines = 0;

    private constructor(private readonly options: PinoDecisionLogOptions) {
        this.destination = pino.destination({ dest: 1, sync: false, maxLength: options.maxBufferedBytes });
        this.destination.on("drop", () => {
            this.droppedLines += 1;
        });
        this.destination.on("error", () => {
            this.droppedLines += 1;
        });
        this.logger = pino({ base: { vm: options.vm }, timestamp: pino.stdTimeFunctions.isoTime }, this.destination);
    }

    /** Creates the log. */
    static create(options: PinoDecisionLogOptions): PinoDecisionLog {
        return new PinoDecisionLog(options);
    }

    /** Logs a decision or a change in what is known. */
    info(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
        if (this.tryCountLine()) {
            this.logger.info(fields, event);
        }
    }

    /** Logs something that may need investigation. */
    warn(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
        if (this.tryCountLine()) {
            this.logger.warn(fields, event);
        }
    }

    /** Writes buffered lines synchronously before the process exits. */
    flush(): void {
        try {
            this.destination.flushSync();
        }
        catch {
            // Standard output has no reader any more, and the process is about to exit.
            this.droppedLines += 1;
        }
    }

    /** Counts a line; returns false if it exceeds the limit and is dropped. */
    private tryCountLine(): boolean {
        const nowMs = this.options.monotonicMs();
        if (nowMs - this.windowStartMs >= 1000) {
            const dropped = this.droppedLines;
            this.windowStartMs = nowMs;
            this.linesInWindow = 0;
            this.droppedLines = 0;
            if (dropped > 0) {
                this.logger.warn({ dropped }, "log lines dropped");
            }
        }
        this.linesInWindow += 1;
        if (this.linesInWindow > this.options.maxLinesPerSecond) {
            this.droppedLines += 1;
            return false;
        }
        return true;
    }
}
