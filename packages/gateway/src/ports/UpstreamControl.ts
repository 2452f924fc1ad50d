import type { Upstream } from "../model/Upstream.js";
import type { GroupOrder } from "./GroupOrder.js";
import type { OrderOutcome } from "./OrderOutcome.js";
import type { UpstreamReport } from "./UpstreamReport.js";

/** Asks upstreams for their state and gives them orders. No method rejects. */
export interface UpstreamControl {
    /** Asks for the upstream's state. */
    fetchReport(upstream: Upstream, timeoutMs: number): Promise<UpstreamReport>;

    /** Gives an order that begins only if the upstream has accepted `expectedOrderCount` orders before it. */
    order(upstream: Upstream, order: GroupOrder, expectedOrderCount: number): Promise<OrderOutcome>;
}
