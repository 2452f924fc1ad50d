import { expect } from "chai";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import { responses } from "../support/responses.js";

describe("demand counts of the dispatchers", () => {
    let rig: ForwarderRig;

    beforeEach(() => {
        rig = ForwarderRig.create();
        rig.configure();
    });

    afterEach(() => rig.close());

    function addGroup(): void {
        const group = { name: "g1", epoch: 1, rank: 0, phase: "open" as const };
        rig.directory.set(exampleUpstream("g1", { model: "large", group }));
    }

    async function countsAfter(durationMs: number): Promise<number[]> {
        await rig.clock.advance(durationMs);
        const figures = rig.demand.poolDemand("llm", "large");
        return [
            figures.offeredPerSecond,
            figures.admittedPerSecond,
            figures.refusedPerSecond,
            figures.latePerSecond,
        ];
    }

    it("count a stream once, whatever the number of attempts", async () => {
        addGroup();
        rig.client.script(() => responses.brokenStream(1, 3), () => responses.stream(4, 6));
        rig.send();
        expect(await countsAfter(1000)).to.deep.equal([1, 1, 0, 0]);
        expect(rig.demand.poolDemand("llm", "large").ranks.map(({ rank, accounts }) => [rank, accounts.length])).to.deep
            .equal([[101, 1]]);
    });

    it("count a stream whose first event comes after the route's target as late", async () => {
        addGroup();
        rig.client.script((_, signal) =>
            responses.pausedStream({ last: 0, until: 3, pauseMs: 500 }, rig.clock, signal)
        );
        rig.send();
        expect(await countsAfter(1000)).to.deep.equal([1, 1, 0, 1]);
    });

    it("count a refused request, and none for a model that is not configured", async () => {
        rig.send();
        rig.send({ model: "unknown" });
        expect(await countsAfter(1000)).to.deep.equal([1, 0, 1, 0]);
        expect(rig.demand.report(() => true).pools.length).to.equal(1);
    });
});
