import type { EngineControl, EngineOrder, MemberReport, OrderOutcome } from "@fescuehaven/coordination";

/** In-memory engines by base URL, whose reports a test sets. */
export class MemoryEngines implements EngineControl {
    /** Reports by base URL; an engine without a report is unreachable. */
    readonly reports = new Map<string, MemberReport>();
    /** Base URLs of engines whose reports never arrive. */
    readonly silent = new Set<string>();
    /** Orders so far, oldest first. */
    readonly orders: Array<{ engineUrl: string; order: EngineOrder; }> = [];
    /** Called with every probe. */
    onReport: (engineUrl: string) => void = () => {};

    private constructor() {}

    /** Creates the fake without reports. */
    static create(): MemoryEngines {
        return new MemoryEngines();
    }

    /** Returns a copy of the report that the test has set, or undefined if there is none. */
    async report(engineUrl: string): Promise<MemberReport | undefined> {
        this.onReport(engineUrl);
        if (this.silent.has(engineUrl)) {
            return new Promise(() => {});
        }
        const report = this.reports.get(engineUrl);
        return report && { ...report };
    }

    /** Records and accepts the order. */
    async order(engineUrl: string, order: EngineOrder): Promise<OrderOutcome> {
        this.orders.push({ engineUrl, order });
        return { kind: "accepted" };
    }
}
