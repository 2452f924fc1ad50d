import type { EngineOrder } from "../EngineOrder.js";
import type { MemberReport } from "../MemberReport.js";
import type { OrderOutcome } from "../OrderOutcome.js";

/** An engine's control interface. No method rejects. */
export interface EngineControl {
    /** Asks an engine for its report; undefined when it does not answer within `timeoutMs`. */
    report(engineUrl: string, timeoutMs: number): Promise<MemberReport | undefined>;

    /** Sends an order. */
    order(engineUrl: string, order: EngineOrder, timeoutMs: number): Promise<OrderOutcome>;
}
