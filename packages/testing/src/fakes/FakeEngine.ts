import type { EngineOrder, MemberReport, OrderOutcome } from "@fescuehaven/coordination";
import type { VmRecord } from "@fescuehaven/platform";

/** One engine of a `FakeEngines`; tests may change its fields at any time. */
export interface FakeEngine {
    record: VmRecord;
    bootId: string;
    /** Whether it refuses orders whose fencing token is below the highest one that it has seen. */
    obeysFencing: boolean;
    /** Whether probes and orders reach it. */
    reachable: boolean;
    /** Whether orders take effect but their responses are lost. */
    losesResponses: boolean;
    /** Whether orders are held back until `FakeEngines.deliver` is called. */
    delaysOrders: boolean;
    highestFence: number;
    /** The order that it follows; undefined when it holds no model. */
    held: Extract<EngineOrder, { kind: "load"; }> | undefined;
    /** Time at which the weights are loaded, on the test's monotonic clock. */
    readyAtMs: number;
    runningRequests: number;
    /** Orders that `FakeEngines.deliver` will apply, oldest first. */
    delayedOrders: EngineOrder[];
    /** Orders that took effect, oldest first. */
    appliedOrders: EngineOrder[];
    /** Time at which it last became empty, on the test's monotonic clock. */
    lastEmptyAtMs: number;
    /** Applies an order at once, whether or not the engine is reachable. */
    apply(order: EngineOrder): OrderOutcome;
    /** Returns the current report, whether or not the engine is reachable. */
    report(): MemberReport;
}
