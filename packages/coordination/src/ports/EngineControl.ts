import type { EngineOrder } from "../EngineOrder.js";
import type { MemberReport } from "../MemberReport.js";
import type { OrderOutcome } from "../OrderOutcome.js";

/** An engine's control interface. No method rejects. */
export interface EngineControl {
    /** Requests an engine's report; returns undefined if it does not respond within `timeoutMs`. */
    report(engineUrl: string, timeoutMs: number): Promise<MemberReport | undefined>;

    /** Sends an order to an engine. */
    order(engineUrl: string, order: EngineOrder, timeoutMs: number): Promise<OrderOutcome>;
}
