import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import type { GroupOrder } from "../../src/ports/GroupOrder.js";
import { exampleEngine } from "./exampleEngine.js";
import { exampleUpstream } from "./exampleUpstream.js";
import { SimulatedUpstreams } from "./SimulatedUpstreams.js";

describe("SimulatedUpstreams", () => {
    let clock: ManualClock;
    let fleet: SimulatedUpstreams;
    let orderCounts: Map<string, number>;

    async function order(id: string, groupOrder: GroupOrder): Promise<void> {
        const count = orderCounts.get(id) ?? 0;
        const outcome = await fleet.order(fleet.state(id), groupOrder, count);
        // Engines carry out a leave at once.
        expect(outcome.kind).to.equal(groupOrder.kind === "leave" ? "done" : "accepted");
        orderCounts.set(id, count + 1);
    }

    function join(id: string, group: string, epoch: number, members: string[]): Promise<void> {
        return order(id, { kind: "join", group, epoch, model: "small", members });
    }

    beforeEach(async () => {
        clock = ManualClock.create();
        orderCounts = new Map();
        fleet = SimulatedUpstreams.create(clock, exampleEngine, { set: () => undefined, remove: () => undefined });
        ["a", "b", "c"].forEach(id => fleet.add(exampleUpstream(id, { stagedModels: ["small"] })));
        for (const id of ["a", "b"]) {
            await join(id, "g", 1, ["a", "b"]);
        }
        await clock.advance(2000);
        await order("a", { kind: "open", group: "g", epoch: 1 });
        await clock.advance(500);
        await order("b", { kind: "leave", group: "g", epoch: 1 });
    });

    it("reports a member that joins another group before the stalled head gives its group up", async () => {
        await clock.advance(3900);
        await join("b", "h", 2, ["b", "c"]);
        expect(fleet.violations).to.deep.equal(["b joined h while g was open"]);
    });

    it("reports it if the member was in a third group in between", async () => {
        await clock.advance(1000);
        await join("b", "standby", 2, ["b"]);
        await clock.advance(1000);
        await join("b", "h", 3, ["b", "c"]);
        expect(fleet.violations).to.deep.equal([
            "b joined standby while g was open",
            "b joined h while g was open",
        ]);
    });

    it("allows it once the head has been stalled for long enough, whatever the member joined since", async () => {
        await clock.advance(4000);
        await join("b", "standby", 2, ["b"]);
        await clock.advance(1000);
        await join("b", "h", 3, ["b", "c"]);
        expect(fleet.violations).to.deep.equal([]);
    });
});
