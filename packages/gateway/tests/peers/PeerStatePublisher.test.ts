import { createClient, createRouterTransport } from "@connectrpc/connect";
import { GatewayService } from "@fescuehaven/protocol";
import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import type { PeerState } from "../../src/peers/PeerState.js";
import { PeerStatePublisher } from "../../src/peers/PeerStatePublisher.js";
import type { DemandReport } from "../../src/placement/DemandReport.js";

/** Interval between updates by follower. */
const intervalsMs: Record<string, number> = { near: 100, member: 200, standby: 400 };

describe("PeerStatePublisher", () => {
    let clock: ManualClock;
    let publisher: PeerStatePublisher;
    let stop: AbortController;
    let received: Map<string, number>;
    let snapshots: number;
    let term: number;
    let pools: DemandReport["pools"];
    let crashEvidence: PeerState["crashEvidence"];
    /** Updates with demand figures by follower. */
    let withDemand: Map<string, number>;
    /** Updates with evidence by follower. */
    let withEvidence: Map<string, number>;

    beforeEach(async () => {
        clock = ManualClock.create();
        stop = new AbortController();
        received = new Map();
        snapshots = 0;
        term = 1;
        pools = [];
        crashEvidence = { promptParts: [], requests: [] };
        withEvidence = new Map();
        withDemand = new Map();
        const snapshot = (): PeerState => {
            snapshots += 1;
            return {
                term,
                openGroups: [],
                controllerDistance: 0,
                loads: [],
                retries: [],
                countedGateways: 1,
                configurationVersion: 1,
                unreachableServices: [],
                lostEpochs: [],
                crashEvidence,
                announcedLimits: [],
                leavingUpstreams: [],
            };
        };
        publisher = PeerStatePublisher.create({
            clock,
            snapshot,
            intervalMs: observer => intervalsMs[observer] ?? 100,
            demand: () => ({ pools, gateways: 1, ageMs: 0 }),
            demandDelayMs: observer => observer === "standby" ? Infinity : 200,
        });
        void publisher.run(stop.signal);
    });

    afterEach(() => stop.abort());

    async function follow(observer: string): Promise<void> {
        const transport = createRouterTransport(router => publisher.registerOn(router));
        const updates = createClient(GatewayService, transport).watchGateway({ observer }, { signal: stop.signal });
        void (async () => {
            for await (const update of updates) {
                received.set(observer, (received.get(observer) ?? 0) + (update.term > 0 ? 1 : 0));
                withDemand.set(observer, (withDemand.get(observer) ?? 0) + (update.demandGateways > 0 ? 1 : 0));
                withEvidence.set(
                    observer,
                    (withEvidence.get(observer) ?? 0) + (update.crashSuspects.length > 0 ? 1 : 0),
                );
            }
        })().catch(() => undefined);
        await clock.settle();
        await clock.settle();
    }

    async function advanceWithChanges(durationMs: number): Promise<void> {
        for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
            term += 1;
            await clock.advance(100);
        }
    }

    it("updates each follower at its own pace", async () => {
        await follow("near");
        await follow("member");
        await follow("standby");
        await advanceWithChanges(4000);
        expect(received.get("near")).to.be.within(38, 42);
        expect(received.get("member")).to.be.within(18, 22);
        expect(received.get("standby")).to.be.within(9, 12);
    });

    it("updates all followers at once when flushed", async () => {
        await follow("member");
        await follow("standby");
        await advanceWithChanges(400);
        const before = [received.get("member"), received.get("standby")];
        term += 1;
        publisher.flush();
        await clock.settle();
        expect([received.get("member"), received.get("standby")]).to.deep.equal(before.map(count => count! + 1));
    });

    it("sends heartbeats when the state has not changed", async () => {
        await follow("near");
        await clock.advance(4000);
        expect(received.get("near")).to.be.within(9, 12);
    });

    // Guards against hubs that spend their processor time on evidence that their followers have already.
    it("sends evidence that has not changed once, whatever else changes", async () => {
        crashEvidence = { promptParts: [{ part: "p", pool: "", crashes: [{ upstream: 1, ageMs: 5 }] }], requests: [] };
        await follow("near");
        await advanceWithChanges(4000);
        expect(withEvidence.get("near")).to.equal(1);
        expect(received.get("near")).to.be.within(38, 42);
        crashEvidence = { promptParts: [{ part: "q", pool: "", crashes: [{ upstream: 1, ageMs: 5 }] }], requests: [] };
        await advanceWithChanges(200);
        await follow("standby");
        expect([withEvidence.get("near"), withEvidence.get("standby")]).to.deep.equal([2, 1]);
    });

    // Guards against figures in every update, which would be sent ten times as often as they change.
    it("sends demand figures once a second to the followers that use them", async () => {
        pools = [{ service: "llm", model: "large", zone: "a", ranks: [] }];
        await follow("near");
        await follow("member");
        await follow("standby");
        await advanceWithChanges(5000);
        expect(["near", "member"].map(observer => withDemand.get(observer))).to.deep.equal([6, 6]);
        expect(withDemand.get("standby")).to.equal(0);
    });

    it("takes no snapshots while there are no followers", async () => {
        await clock.advance(4000);
        expect(snapshots).to.equal(0);
    });
});
