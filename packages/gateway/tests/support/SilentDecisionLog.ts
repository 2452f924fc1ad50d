import type { DecisionLog } from "../../src/ports/DecisionLog.js";

/** Records log lines for tests. */
export class SilentDecisionLog implements DecisionLog {
    readonly lines: Array<{ event: string; fields: Readonly<Record<string, unknown>>; }> = [];

    /** Creates an empty log. */
    static create(): SilentDecisionLog {
        return new SilentDecisionLog();
    }

    /** Records a line. */
    info(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
        this.lines.push({ event, fields });
    }

    /** Records a line. */
    warn(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
        this.lines.push({ event, fields });
    }
}
