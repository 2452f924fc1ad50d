import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { OrderSender } from "../../src/fleet/OrderSender.js";
import type { Upstream } from "../../src/model/Upstream.js";
import type { OrderOutcome } from "../../src/ports/OrderOutcome.js";
import type { UpstreamReport } from "../../src/ports/UpstreamReport.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { noMetrics } from "../support/noMetrics.js";
import { noReachability } from "../support/noReachability.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";

const upstream = exampleUpstream("x");
const join = { kind: "join", group: "g", epoch: 7, model: "large", members: ["x"] } as const;
const leave = { kind: "leave", group: "g", epoch: 7 } as const;
const joined: Partial<Upstream> = { group: { name: "g", epoch: 7, rank: 0, phase: "ready" }, model: "large" };

function report(orderCount: number, { group, model }: Partial<Upstream> = {}): UpstreamReport {
    return { kind: "reported", startedAtMs: 1000, orderCount, group, model, stagedModels: [], slowdown: 1 };
}

/** Sends orders to an upstream that answers as scripted; the last answer of each kind is repeated. */
function createSender(outcomes: OrderOutcome[], reports: UpstreamReport[]) {
    const clock = ManualClock.create();
    const counts: number[] = [];
    const changes: Array<[string, number]> = [];
    const reported: number[] = [];
    const next = <T>(items: T[]): T => items.length > 1 ? items.shift()! : items[0]!;
    const sender = OrderSender.create({
        clock,
        log: SilentDecisionLog.create(),
        metrics: noMetrics,
        control: {
            fetchReport: async () => next(reports),
            order: async (_upstream, _order, expectedOrderCount) => {
                counts.push(expectedOrderCount);
                return next(outcomes);
            },
        },
        onLeaving: () => undefined,
        onOtherGroup: () => undefined,
        onOrderDone: (_upstream, { kind }, orderCount) => changes.push([kind, orderCount]),
        onReport: (_upstream, { orderCount }) => reported.push(orderCount),
        reachability: noReachability,
    });
    const send = async (order: typeof join | typeof leave) => {
        const result = sender.send(upstream, order);
        await clock.advance(2000);
        return result;
    };
    return { sender, send, counts, changes, reported };
}

describe("OrderSender", () => {
    // A lagging report lowered the known count, so that all further attempts conflicted.
    it("never lowers the known order count because a report lags", async () => {
        const accepted: OrderOutcome = { kind: "accepted" };
        const conflict: OrderOutcome = { kind: "conflict" };
        const rig = createSender([accepted, conflict, conflict, accepted], [report(0), report(1, joined)]);
        expect(await rig.send(join)).to.equal("completed");
        expect(await rig.send(leave)).to.equal("completed");
        expect(rig.counts).to.deep.equal([0, 1, 1, 1]);
    });

    it("completes a leave of a group that the upstream has left, once reports cannot lag any more", async () => {
        const rig = createSender([{ kind: "accepted" }, { kind: "conflict" }], [report(1)]);
        await rig.send(join);
        expect(await rig.send(leave)).to.equal("completed");
        expect(rig.counts).to.deep.equal([0, 1, 1, 1, 1]);
        expect(rig.changes).to.deep.equal([["join", 1], ["leave", 1]]);
    });

    // A new controller learns of the join from a registration, which may be newer than the upstream's report.
    it("does not complete a leave by a report from before the join, of an upstream that it has not seen", async () => {
        const rig = createSender(
            [{ kind: "unknown", reason: "no answer" }, { kind: "conflict" }],
            [report(4), report(5, joined)],
        );
        expect(await rig.send(leave)).to.equal("rejected");
        expect(rig.changes).to.deep.equal([]);
    });

    it("does not complete a leave by a report that is older than an accepted join", async () => {
        const rig = createSender([{ kind: "accepted" }, { kind: "conflict" }], [report(0)]);
        await rig.send(join);
        expect(await rig.send(leave)).to.equal("unresponsive");
        expect(rig.changes).to.deep.equal([["join", 1]]);
    });

    it("completes a join whose response was lost, by a report", async () => {
        const rig = createSender([{ kind: "unknown", reason: "lost" }, { kind: "conflict" }], [report(1, joined)]);
        expect(await rig.send(join)).to.equal("completed");
        expect(rig.changes).to.deep.equal([["join", 1]]);
    });

    it("completes a leave whose response was lost, by a report", async () => {
        const outcomes: OrderOutcome[] = [
            { kind: "accepted" },
            { kind: "unknown", reason: "lost" },
            { kind: "conflict" },
        ];
        const rig = createSender(outcomes, [report(1, joined), report(2)]);
        await rig.send(join);
        expect(await rig.send(leave)).to.equal("completed");
        expect(rig.changes).to.deep.equal([["join", 1], ["leave", 2]]);
    });

    for (const order of [join, leave]) {
        it(`reports a ${order.kind} that was in effect already`, async () => {
            const rig = createSender([{ kind: "done" }], [report(0)]);
            expect(await rig.send(order)).to.equal("completed");
            expect(rig.changes).to.deep.equal([[order.kind, 0]]);
        });
    }

    // A group waits for the slowest of its members, and an order may get no response for hundreds of milliseconds.
    it("repeats an order soon, and takes the response to any attempt", async () => {
        const clock = ManualClock.create();
        const sentAtMs: number[] = [];
        const startMs = clock.monotonicMs();
        const sender = OrderSender.create({
            clock,
            log: SilentDecisionLog.create(),
            metrics: noMetrics,
            control: {
                fetchReport: async () => report(0),
                order: async () => {
                    sentAtMs.push(clock.monotonicMs() - startMs);
                    const isFirst = sentAtMs.length === 1;
                    await clock.sleep(isFirst ? 200 : 1000);
                    return isFirst ? { kind: "accepted" } : { kind: "unknown", reason: "no answer" };
                },
            },
            onLeaving: () => undefined,
            onOtherGroup: () => undefined,
            onOrderDone: () => undefined,
            onReport: () => undefined,
            reachability: noReachability,
        });
        const result = sender.send(upstream, join);
        await clock.advance(210);
        expect(await result).to.equal("completed");
        expect(sentAtMs).to.deep.equal([0, 120]);
    });

    it("ignores a report that is older than an accepted order", async () => {
        const rig = createSender([{ kind: "accepted" }], [report(0, joined), report(1)]);
        await rig.send(leave);
        await rig.sender.fetchReport(upstream);
        await rig.sender.fetchReport(upstream);
        expect(rig.reported).to.deep.equal([1]);
    });
});
