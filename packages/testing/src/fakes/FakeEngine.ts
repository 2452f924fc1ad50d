import type { EngineOrder, MemberReport, OrderOutcome } from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";

/** One engine of a `FakeEngines`; tests change its fields at any time. */
export interface FakeEngine {
    record: VmRecord;
    bootId: string;
    /** Whether it refuses orders below the highest fencing number that it has seen. */
    obeysFencing: boolean;
    /** Whether probes and orders reach it. */
    reachable: boolean;
    /** Whether orders take effect but their answer is lost. */
    losesAnswers: boolean;
    /** Whether the fake holds orders back until `FakeEngines.deliver`. */
    delaysOrders: boolean;
    highestFence: number;
    /** The order that it follows; undefined when empty. */
    held: Extract<EngineOrder, { kind: "load"; }> | undefined;
    /** When the weights are loaded, on the clock of the test. */
    readyAtMs: number;
    runningRequests: number;
    /** Orders that wait for `FakeEngines.deliver`. */
    delayed: EngineOrder[];
    /** Orders that took effect, oldest first. */
    obeyed: EngineOrder[];
    /** When it was last without a model. */
    lastEmptyAtMs: number;
    /** Outcome of an order right now. */
    take(order: EngineOrder): OrderOutcome;
    /** Report right now. */
    report(): MemberReport;
}
