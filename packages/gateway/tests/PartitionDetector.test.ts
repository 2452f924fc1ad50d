import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { PartitionDetector } from "../src/PartitionDetector.js";
import { UpstreamDirectory } from "../src/UpstreamDirectory.js";
import { exampleUpstream } from "./support/exampleUpstream.js";
import { SilentDecisionLog } from "./support/SilentDecisionLog.js";

/** A gateway must be found partitioned in well under the time in which the balancer takes it out: two checks. */
const DETECTION_MS = 1500;
/** A gateway must be back this soon after the partition. */
const RETURN_MS = 1000;
const PROBE_TIMEOUT_MS = 250;

describe("PartitionDetector", () => {
    const upstreams = Array.from({ length: 12 }, (_, index) => exampleUpstream(`u${index}`));
    let clock: ManualClock;
    let detector: PartitionDetector;
    let stop: AbortController;
    let isCut: boolean;
    let own: { targets: number; silentMs: number; };
    let probes: number;

    beforeEach(async () => {
        clock = ManualClock.create();
        const log = SilentDecisionLog.create();
        const directory = UpstreamDirectory.create({ clock, log, returnGraceMs: 2000 });
        upstreams.forEach(upstream => directory.set(upstream));
        stop = new AbortController();
        isCut = false;
        own = { targets: 0, silentMs: 0 };
        probes = 0;
        detector = PartitionDetector.create({
            clock,
            random: SeededRandom.create(1),
            log,
            upstreams: directory,
            probe: async () => {
                probes += 1;
                const isReached = !isCut;
                await clock.sleep(isReached ? 2 : PROBE_TIMEOUT_MS);
                return isReached;
            },
            ownSilence: service => service === "llm" ? own : { targets: 0, silentMs: Infinity },
            onChange: () => undefined,
        });
        void detector.run(stop.signal);
        await clock.advance(5000);
    });

    afterEach(() => stop.abort());

    /** Lets requests fail as if nothing accepted a connection. */
    function failConnections(count: number): void {
        upstreams.slice(0, count).forEach(upstream => detector.recordUnreachable(upstream));
    }

    it("finds a gateway partitioned whose connections are not accepted", async () => {
        isCut = true;
        failConnections(4);
        await clock.advance(DETECTION_MS);
        expect(detector.isPartitionedFrom("llm")).to.equal(true);
    });

    it("finds a gateway partitioned whose connections hang", async () => {
        isCut = true;
        own = { targets: 4, silentMs: 800 };
        await clock.advance(DETECTION_MS);
        expect(detector.isPartitionedFrom("llm")).to.equal(true);
    });

    it("notices within a second that the partition has ended, without any request", async () => {
        isCut = true;
        failConnections(4);
        await clock.advance(10_000);
        expect(detector.isPartitionedFrom("llm")).to.equal(true);
        isCut = false;
        await clock.advance(RETURN_MS);
        expect(detector.isPartitionedFrom("llm")).to.equal(false);
    });

    it("does not take a few crashed upstreams for a partition", async () => {
        for (let second = 0; second < 10; second++) {
            failConnections(8);
            detector.recordResponse(upstreams[11]!);
            await clock.advance(1000);
            expect(detector.isPartitionedFrom("llm")).to.equal(false);
        }
        failConnections(8);
        await clock.advance(3000);
        expect([detector.isPartitionedFrom("llm"), probes]).to.deep.equal([false, 3]);
    });

    it("goes on probing during a long partition, whoever else reaches the upstreams", async () => {
        isCut = true;
        failConnections(12);
        own = { targets: 4, silentMs: 5000 };
        await clock.advance(10_000);
        expect([detector.isPartitionedFrom("llm"), detector.partitionedServices()]).to.deep.equal([true, ["llm"]]);
        expect(probes).to.be.within(20, 36);
    });

    it("is partitioned from one service while the upstreams of another respond", async () => {
        const app = exampleUpstream("app-0", { service: "app" });
        isCut = true;
        failConnections(4);
        for (let passedMs = 0; passedMs < 5000; passedMs += 100) {
            detector.recordResponse(app);
            await clock.advance(100);
        }
        expect(detector.isPartitionedFrom("llm")).to.equal(true);
        expect([detector.isPartitionedFrom("app"), detector.isPartitionedFromAll]).to.deep.equal([false, false]);
    });

    it("is partitioned from all services once none has responded since the partition was found", async () => {
        const app = exampleUpstream("app-0", { service: "app" });
        detector.recordResponse(app);
        isCut = true;
        failConnections(4);
        await clock.advance(DETECTION_MS);
        expect(detector.isPartitionedFromAll).to.equal(true);
        detector.recordResponse(app);
        expect([detector.isPartitionedFromAll, detector.isPartitionedFrom("llm")]).to.deep.equal([false, true]);
    });

    it("probes rarely while requests are silent for a second and go on", async () => {
        for (let second = 0; second < 30; second++) {
            own = { targets: 4, silentMs: 0 };
            await clock.advance(400);
            own = { targets: 4, silentMs: 900 };
            await clock.advance(600);
            expect(detector.isPartitionedFrom("llm")).to.equal(false);
        }
        expect(probes).to.be.at.most(30_000 / 1500 * 3);
    });

    it("is suspected only briefly while requests stay silent but upstreams respond", async () => {
        own = { targets: 4, silentMs: 5000 };
        let suspectedMs = 0;
        for (let atMs = 0; atMs < 15_000; atMs += 10) {
            suspectedMs += detector.isSuspectedFor("llm") ? 10 : 0;
            await clock.advance(10);
        }
        expect(suspectedMs).to.be.at.most(15_000 / 1500 * 120);
    });

    it("is suspected until the probes tell, so that nothing is concluded meanwhile", async () => {
        isCut = true;
        await clock.advance(400);
        failConnections(4);
        expect([detector.isSuspectedFor("llm"), detector.isPartitionedFrom("llm")]).to.deep.equal([true, false]);
        await clock.advance(PROBE_TIMEOUT_MS + 150);
        expect([detector.isSuspectedFor("llm"), detector.isPartitionedFrom("llm")]).to.deep.equal([true, true]);
    });
});
