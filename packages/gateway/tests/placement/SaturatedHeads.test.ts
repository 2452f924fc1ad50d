import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { SaturatedHeads } from "../../src/placement/SaturatedHeads.js";

describe("SaturatedHeads", () => {
    it("reports a head as saturated for a while after a rejection", async () => {
        const clock = ManualClock.create();
        const saturated = SaturatedHeads.create(clock);
        saturated.record("u1");
        expect([saturated.isSaturated("u1"), saturated.isSaturated("u2")]).to.deep.equal([true, false]);
        await clock.advance(299);
        expect(saturated.isSaturated("u1")).to.equal(true);
        await clock.advance(1);
        expect(saturated.isSaturated("u1")).to.equal(false);
    });
});
