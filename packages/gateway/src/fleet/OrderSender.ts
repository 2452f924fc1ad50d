import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";
import type { GroupOrder } from "../ports/GroupOrder.js";
import type { UpstreamControl } from "../ports/UpstreamControl.js";
import type { UpstreamReport } from "../ports/UpstreamReport.js";
import { instanceKeyOf } from "./instanceKeyOf.js";

/** What an `OrderSender` is made of. */
interface OrderSenderOptions {
    clock: Clock;
    log: DecisionLog;
    metrics: GatewayMetrics;
    control: UpstreamControl;
}

/** Result of giving an order until it is settled. */
type SettledOrder = "carried-out" | "rejected" | "lost";

/** Tries for one order. */
const MAX_TRIES = 8;
/** Pause after a conflict, ms: reports catch up meanwhile. */
const CONFLICT_PAUSE_MS = 70;
/** Conflicts that a report may fail to explain because it lags behind. */
const MIN_CONFLICTS = 3;
/** Longest wait for a report, ms: an upstream answers within a few. */
const REPORT_TIMEOUT_MS = 300;

/**
 * Gives orders to upstreams. Each order names the number of orders that the upstream had accepted when it was last
 * seen, so that one which is carried out late, after a newer one, is rejected there.
 */
export class OrderSender {
    /** Accepted orders of each life, as far as known. */
    private readonly orderCounts = new Map<string, number>();
    /** Order counts of the last reports, which lag behind by some hundred ms. */
    private readonly reportedCounts = new Map<string, number>();
    private readonly busy = new Set<string>();

    private constructor(private readonly options: OrderSenderOptions) {}

    /** Creates a sender that knows nothing of the upstreams yet. */
    static create(options: OrderSenderOptions): OrderSender {
        return new OrderSender(options);
    }

    /** True while an order to the upstream is being settled. */
    isBusy(upstream: Upstream): boolean {
        return this.busy.has(instanceKeyOf(upstream));
    }

    /** Gives an order; repeats it while its answer is lost. One order at a time goes to an upstream. */
    async send(upstream: Upstream, order: GroupOrder): Promise<SettledOrder> {
        const instanceKey = instanceKeyOf(upstream);
        this.busy.add(instanceKey);
        try {
            return await this.settle(upstream, instanceKey, order);
        }
        finally {
            this.busy.delete(instanceKey);
        }
    }

    /** Asks for the upstream's state. */
    async report(upstream: Upstream, timeoutMs = REPORT_TIMEOUT_MS): Promise<UpstreamReport> {
        const report = await this.options.control.report(upstream, timeoutMs);
        if (report.kind === "reported" && report.startedAtMs === upstream.startedAtMs) {
            this.reportedCounts.set(instanceKeyOf(upstream), report.orderCount);
        }
        return report;
    }

    private async settle(upstream: Upstream, instanceKey: string, order: GroupOrder): Promise<SettledOrder> {
        const { control, log, metrics } = this.options;
        let wasUnanswered = false;
        for (let tries = 1; tries <= MAX_TRIES; tries++) {
            const expected = this.orderCounts.get(instanceKey) ?? this.reportedCounts.get(instanceKey) ?? 0;
            const outcome = await control.order(upstream, order, expected);
            metrics.count("orders", `${order.kind} ${outcome.kind}`);
            log.info("order given", {
                upstream: upstream.id,
                order: order.kind,
                epoch: "epoch" in order ? order.epoch : undefined,
                expectedOrderCount: expected,
                outcome: outcome.kind,
                status: "status" in outcome ? outcome.status : undefined,
                tries,
            });
            if (outcome.kind === "accepted") {
                this.orderCounts.set(instanceKey, expected + 1);
                return "carried-out";
            }
            if (outcome.kind === "done") {
                return "carried-out";
            }
            if (outcome.kind === "other-instance") {
                return "lost";
            }
            if (outcome.kind === "refused") {
                return "rejected";
            }
            if (outcome.kind === "unknown") {
                wasUnanswered = true;
                continue;
            }
            const next = await this.afterConflict(upstream, instanceKey, order, expected, wasUnanswered, tries);
            if (next) {
                return next;
            }
        }
        return "lost";
    }

    /** Finds out why an order was rejected; undefined: worth another try. */
    private async afterConflict(
        upstream: Upstream,
        instanceKey: string,
        order: GroupOrder,
        expected: number,
        wasUnanswered: boolean,
        tries: number,
    ): Promise<SettledOrder | undefined> {
        const report = await this.report(upstream);
        if (report.kind !== "reported") {
            return report.kind === "other-instance" ? "lost" : undefined;
        }
        if (report.startedAtMs !== upstream.startedAtMs) {
            return "lost";
        }
        if ("epoch" in order && order.kind !== "leave" && wasUnanswered && report.group?.epoch === order.epoch) {
            return "carried-out";
        }
        const isStale = report.orderCount !== expected;
        // The report may be older than an order of the last moments; a further conflict brings a newer one.
        this.orderCounts.set(instanceKey, report.orderCount);
        await this.options.clock.sleep(CONFLICT_PAUSE_MS);
        return isStale || tries <= MIN_CONFLICTS ? undefined : "rejected";
    }
}
