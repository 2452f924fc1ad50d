import type { Upstream } from "../model/Upstream.js";
import type { GroupOrder } from "./GroupOrder.js";
import type { OrderOutcome } from "./OrderOutcome.js";
import type { UpstreamReport } from "./UpstreamReport.js";

/** Requests reports from upstreams and sends orders to them. No method rejects. */
export interface UpstreamControl {
    /** Requests a report of the upstream's state. */
    fetchReport(upstream: Upstream, timeoutMs: number): Promise<UpstreamReport>;

    /** Sends an order that the upstream accepts only if it has accepted exactly `expectedOrderCount` orders before. */
    order(upstream: Upstream, order: GroupOrder, expectedOrderCount: number): Promise<OrderOutcome>;
}
