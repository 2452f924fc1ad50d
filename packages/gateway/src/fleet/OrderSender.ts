import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";
import type { GroupOrder } from "../ports/GroupOrder.js";
import type { OrderOutcome } from "../ports/OrderOutcome.js";
import type { ReachabilityRecorder } from "../ports/ReachabilityRecorder.js";
import type { UpstreamControl } from "../ports/UpstreamControl.js";
import type { UpstreamReport } from "../ports/UpstreamReport.js";
import { instanceKeyOf } from "./instanceKeyOf.js";
import type { MembershipOrder } from "./MembershipOrder.js";
import { standbyGroups } from "./standbyGroups.js";
import { termOf } from "./termOf.js";

interface OrderSenderOptions {
    clock: Clock;
    log: DecisionLog;
    metrics: GatewayMetrics;
    control: UpstreamControl;
    /** Called when an upstream has said that it is shutting down. */
    onLeaving: (upstream: Upstream) => void;
    /** Called with a report that shows an upstream in another group than its registration. */
    onOtherGroup: (upstream: Upstream, report: ReceivedReport) => void;
    /** Called with a join, leave or close that an upstream has carried out, and the number of orders it had accepted then. */
    onOrderDone: (upstream: Upstream, order: MembershipOrder, orderCount: number) => void;
    /** Called with each report that is not older than the orders that the upstream is known to have accepted. */
    onReport: (upstream: Upstream, report: ReceivedReport) => void;
    reachability: ReachabilityRecorder;
}

/** An attempt that the upstream has answered with a conflict. */
interface Attempt {
    order: GroupOrder;
    expectedCount: number;
    /** False if the upstream has not been seen before, so that the expected count is only a guess. */
    isCountKnown: boolean;
    /** True if an earlier attempt got no response, so that it may have been carried out. */
    hadNoResponse: boolean;
    tries: number;
}

/** What an attempt to send an order has led to. */
interface AttemptOutcome {
    outcome: OrderOutcome;
    expectedCount: number;
}

type ReceivedReport = UpstreamReport & { kind: "reported"; };

/**
 * Result of an order after all attempts. `outdated` means that the upstream belongs to a group that the sender did not
 * know of, which the order would have broken. `unresponsive` means that the instance was replaced, or that the outcome
 * is still unknown after the last attempt.
 */
type OrderResult = "completed" | "rejected" | "outdated" | "unresponsive";

/** Whether an accepted order changes the group to which an upstream belongs, so that earlier reports say nothing of it. */
const changesMembership: Record<GroupOrder["kind"], boolean> = {
    join: true,
    leave: true,
    open: false,
    close: false,
    stage: false,
};

const MAX_ATTEMPTS = 8;
/** Number of attempts, from the first, that follow each other at short intervals. */
const QUICK_ATTEMPTS = 4;
/**
 * An order is repeated after this time without a response, although one may still come: upstreams usually respond within a
 * few milliseconds, and a group waits for the slowest of its members.
 */
const QUICK_REPEAT_MS = 120;
const NEVER = new Promise<never>(() => undefined);
/** Pause after a conflict, so that reports can catch up. */
const CONFLICT_DELAY_MS = 70;
/** Number of conflicts that a report may fail to explain, because reports lag behind. */
const MAX_UNEXPLAINED_CONFLICTS = 3;
/** Upstreams usually respond within a few milliseconds. */
const REPORT_TIMEOUT_MS = 300;

/**
 * Sends orders to upstreams. Each order carries the number of orders that the upstream had accepted when it was last
 * seen, so that the upstream rejects an order that arrives late, after a newer one.
 */
export class OrderSender {
    /** Number of orders that each instance has accepted, as far as known. */
    private readonly orderCounts = new Map<string, number>();
    /** The last reports, which lag behind by a few hundred ms. */
    private readonly reports = new Map<string, ReceivedReport>();
    private readonly busy = new Set<string>();

    private constructor(private readonly options: OrderSenderOptions) {}

    /** Creates a sender without known order counts. */
    static create(options: OrderSenderOptions): OrderSender {
        return new OrderSender(options);
    }

    /** Returns true while an order to the upstream is in progress. */
    isBusy(upstream: Upstream): boolean {
        return this.busy.has(instanceKeyOf(upstream));
    }

    /**
     * Sends an order and repeats it while its outcome is unknown. At most one order may be in progress for an upstream.
     */
    async send(upstream: Upstream, order: GroupOrder): Promise<OrderResult> {
        const instanceKey = instanceKeyOf(upstream);
        this.busy.add(instanceKey);
        try {
            return await this.resolve(upstream, instanceKey, order);
        }
        finally {
            this.busy.delete(instanceKey);
        }
    }

    /** Requests a report from the upstream, and records its order count. */
    async fetchReport(upstream: Upstream, timeoutMs = REPORT_TIMEOUT_MS): Promise<UpstreamReport> {
        const report = await this.options.control.fetchReport(upstream, timeoutMs);
        this.recordReachability(upstream, report.kind !== "unreachable");
        if (report.kind === "reported" && report.startedAtMs === upstream.startedAtMs) {
            this.recordReport(upstream, report);
            if (report.isLeaving) {
                this.options.onLeaving(upstream);
            }
        }
        return report;
    }

    private recordReport(upstream: Upstream, report: ReceivedReport): void {
        const instanceKey = instanceKeyOf(upstream);
        const knownCount = this.orderCounts.get(instanceKey) ?? 0;
        const lastCount = this.reports.get(instanceKey)?.orderCount ?? 0;
        if (report.orderCount >= Math.max(knownCount, lastCount)) {
            this.reports.set(instanceKey, report);
            this.options.onReport(upstream, report);
        }
    }

    private recordReachability(upstream: Upstream, hasResponded: boolean): void {
        if (hasResponded) {
            this.options.reachability.recordResponse(upstream);
        }
        else {
            this.options.reachability.recordUnreachable(upstream);
        }
    }

    private async resolve(upstream: Upstream, instanceKey: string, order: GroupOrder): Promise<OrderResult> {
        const { log } = this.options;
        const attempts = new Set<Promise<AttemptOutcome>>();
        let hadNoResponse = false;
        for (let tries = 1; tries <= MAX_ATTEMPTS; tries++) {
            const report = this.reports.get(instanceKey);
            const knownCount = this.orderCounts.get(instanceKey) ?? report?.orderCount;
            const expectedCount = knownCount ?? 0;
            if (order.kind === "join" && report?.orderCount === expectedCount && isOutdated(order, upstream, report)) {
                log.info("order withheld", {
                    upstream: upstream.id,
                    group: order.group,
                    epoch: order.epoch,
                    memberOf: report.group?.name,
                    memberEpoch: report.group?.epoch,
                });
                this.options.onOtherGroup(upstream, report);
                return "outdated";
            }
            attempts.add(this.attempt(upstream, order, expectedCount, tries));
            const answered = await this.firstAnswer(attempts, tries);
            if (!answered) {
                hadNoResponse = true;
                continue;
            }
            const { outcome } = answered;
            if (outcome.kind === "accepted") {
                const orderCount = answered.expectedCount + 1;
                this.orderCounts.set(instanceKey, orderCount);
                this.recordOrder(upstream, order, orderCount);
                if (report?.orderCount === answered.expectedCount && !changesMembership[order.kind]) {
                    this.reports.set(instanceKey, { ...report, orderCount });
                }
                return "completed";
            }
            if (outcome.kind === "done") {
                this.recordOrder(upstream, order, answered.expectedCount);
                return "completed";
            }
            if (outcome.kind === "other-instance") {
                return "unresponsive";
            }
            if (outcome.kind === "refused") {
                return "rejected";
            }
            const isCountKnown = knownCount !== undefined;
            const attempt: Attempt = { order, expectedCount, isCountKnown, hadNoResponse, tries };
            const result = await this.resolveConflict(upstream, instanceKey, attempt);
            if (result) {
                return result;
            }
        }
        return "unresponsive";
    }

    /** Sends an order once. */
    private async attempt(
        upstream: Upstream,
        order: GroupOrder,
        expectedCount: number,
        tries: number,
    ): Promise<AttemptOutcome> {
        const { control, log, metrics } = this.options;
        const outcome = await control.order(upstream, order, expectedCount);
        this.recordReachability(upstream, outcome.kind !== "unknown");
        metrics.count("orders", `${order.kind} ${outcome.kind}`);
        log.info("order sent", {
            upstream: upstream.id,
            order: order.kind,
            epoch: "epoch" in order ? order.epoch : undefined,
            expectedOrderCount: expectedCount,
            outcome: outcome.kind,
            status: "status" in outcome ? outcome.status : undefined,
            tries,
        });
        if (outcome.isLeaving) {
            this.options.onLeaving(upstream);
        }
        return { outcome, expectedCount };
    }

    /**
     * Returns the first answer to one of the attempts, which is removed from them, or undefined if the order is to be
     * repeated. An upstream that gets several attempts accepts only one, as all state the same count.
     */
    private async firstAnswer(
        attempts: Set<Promise<AttemptOutcome>>,
        tries: number,
    ): Promise<AttemptOutcome | undefined> {
        const answers = [...attempts].map(async attempt => {
            const result = await attempt;
            if (result.outcome.kind === "unknown") {
                return NEVER;
            }
            attempts.delete(attempt);
            return result;
        });
        const end = Promise.all(attempts).then(() => undefined);
        const repeat = tries < QUICK_ATTEMPTS ? this.options.clock.sleep(QUICK_REPEAT_MS).then(() => undefined) : NEVER;
        return Promise.race([...answers, end, repeat]);
    }

    /** Finds out why an order conflicted. Returns undefined if another attempt may succeed. */
    private async resolveConflict(
        upstream: Upstream,
        instanceKey: string,
        attempt: Attempt,
    ): Promise<OrderResult | undefined> {
        const report = await this.fetchReport(upstream);
        if (report.kind !== "reported") {
            return report.kind === "other-instance" ? "unresponsive" : undefined;
        }
        if (report.startedAtMs !== upstream.startedAtMs) {
            return "unresponsive";
        }
        const { order, expectedCount, tries } = attempt;
        const isDone = order.kind === "leave" ? hasLeft(attempt, order, report) : hasJoined(attempt, report);
        // A report that is older than the accepted orders explains nothing; a newer one is requested after another conflict.
        this.orderCounts.set(instanceKey, Math.max(report.orderCount, expectedCount));
        if (isDone) {
            this.recordOrder(upstream, order, report.orderCount);
            return "completed";
        }
        await this.options.clock.sleep(CONFLICT_DELAY_MS);
        return report.orderCount !== expectedCount || tries <= MAX_UNEXPLAINED_CONFLICTS ? undefined : "rejected";
    }

    private recordOrder(upstream: Upstream, order: GroupOrder, orderCount: number): void {
        if (order.kind === "join" || order.kind === "leave" || order.kind === "close") {
            this.options.onOrderDone(upstream, order, orderCount);
        }
    }
}

/** Returns true if a report shows the epoch of an earlier attempt, which must have been carried out. */
function hasJoined({ order, hadNoResponse }: Attempt, { group }: ReceivedReport): boolean {
    return "epoch" in order && hadNoResponse && group?.epoch === order.epoch;
}

/**
 * Returns true if a report shows that an upstream has left a group. The report may be older than its join: one that states
 * the expected count counts only after as many conflicts as reports lag behind, and one with more orders only if an
 * earlier attempt may be among them.
 */
function hasLeft(
    { expectedCount, isCountKnown, hadNoResponse, tries }: Attempt,
    { group: name, epoch }: GroupOrder & { kind: "leave"; },
    { group, orderCount }: ReceivedReport,
): boolean {
    if (group?.name === name && group.epoch === epoch) {
        return false;
    }
    return orderCount === expectedCount
        ? tries > MAX_UNEXPLAINED_CONFLICTS
        : orderCount > expectedCount && isCountKnown && hadNoResponse;
}

/**
 * Returns true for a join that was decided without knowing the group to which a report shows the upstream to belong. As
 * the order states the report's order count, an upstream that accepts it is in the state of the report.
 */
function isOutdated(order: GroupOrder & { kind: "join"; }, upstream: Upstream, { group }: ReceivedReport): boolean {
    if (!group) {
        // It has left a group, whose head may still wait for it.
        return upstream.group !== undefined && upstream.group.name !== order.group;
    }
    if (standbyGroups.isStandby(group.name)) {
        return false;
    }
    const isOwn = termOf(group.epoch) === termOf(order.epoch);
    return group.name !== order.group || (!isOwn && group.epoch > (upstream.group?.epoch ?? 0));
}
