import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { FullHeads } from "../../src/placement/FullHeads.js";

describe("FullHeads", () => {
    it("leaves a head alone for a while that said that it is full", async () => {
        const clock = ManualClock.create();
        const full = FullHeads.create(clock);
        full.note("u1");
        expect([full.isFull("u1"), full.isFull("u2")]).to.deep.equal([true, false]);
        await clock.advance(299);
        expect(full.isFull("u1")).to.equal(true);
        await clock.advance(1);
        expect(full.isFull("u1")).to.equal(false);
    });
});
