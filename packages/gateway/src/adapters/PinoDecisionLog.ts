import pino from "pino";
import type { DecisionLog } from "../ports/DecisionLog.js";

/** What a `PinoDecisionLog` is made of. */
interface PinoDecisionLogOptions {
    vm: string;
    /** Most lines a second; what is over is dropped and counted. */
    maxLinesPerSecond: number;
    /** Most bytes that wait for a slow reader; what is over is dropped and counted. */
    maxBufferedBytes: number;
    /** Milliseconds on a clock that never goes back. */
    monotonicMs: () => number;
}

/** JSON lines on standard output, written in the background. */
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

    /** A decision or a changed belief. */
    info(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
        if (this.admit()) {
            this.logger.info(fields, event);
        }
    }

    /** Something that needs an explanation later. */
    warn(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
        if (this.admit()) {
            this.logger.warn(fields, event);
        }
    }

    /** Writes what is buffered, for the end of the process. */
    flush(): void {
        try {
            this.destination.flushSync();
        }
        catch {
            // Nobody reads any more; the process ends anyway.
            this.droppedLines += 1;
        }
    }

    private admit(): boolean {
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
