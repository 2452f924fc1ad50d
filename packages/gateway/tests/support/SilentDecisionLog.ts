import type { DecisionLog } from "../../src/ports/DecisionLog.js";

/** Keeps lines for tests to look at. */
export class SilentDecisionLog implements DecisionLog {
    readonly lines: Array<{ event: string; fields: Readonly<Record<string, unknown>>; }> = [];

    /** Creates an empty log. */
    static create(): SilentDecisionLog {
        return new SilentDecisionLog();
    }

    /** Keeps a line. */
    info(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
        this.lines.push({ event, fields });
    }

    /** Keeps a line. */
    warn(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
        this.lines.push({ event, fields });
    }
}
