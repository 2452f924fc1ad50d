import type { EngineControl, EngineOrder, MemberReport, OrderOutcome } from "@fescuehaven/coordination";

/** Engines within a test, by base URL. Tests set their reports; an engine that is silent never answers. */
export class MemoryEngines implements EngineControl {
    /** Reports by base URL; without one the engine is dead. */
    readonly reports = new Map<string, MemberReport>();
    /** Base URLs of engines that accept calls and never answer. */
    readonly silent = new Set<string>();
    /** Orders so far, oldest first. */
    readonly orders: Array<{ engineUrl: string; order: EngineOrder; }> = [];
    /** Called with every probe. */
    onReport: (engineUrl: string) => void = () => {};

    private constructor() {}

    /** Creates the fake without engines. */
    static create(): MemoryEngines {
        return new MemoryEngines();
    }

    /** The report that the test set. */
    async report(engineUrl: string): Promise<MemberReport | undefined> {
        this.onReport(engineUrl);
        if (this.silent.has(engineUrl)) {
            return new Promise(() => {});
        }
        const report = this.reports.get(engineUrl);
        return report && { ...report };
    }

    /** Accepts and keeps the order. */
    async order(engineUrl: string, order: EngineOrder): Promise<OrderOutcome> {
        this.orders.push({ engineUrl, order });
        return { kind: "accepted" };
    }
}
