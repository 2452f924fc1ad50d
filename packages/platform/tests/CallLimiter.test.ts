import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { CallLimiter } from "../src/index.js";

describe("CallLimiter", () => {
    it("spends a burst, then keeps to its rate", async () => {
        const clock = ManualClock.create();
        const limiter = CallLimiter.create({ clock, callsPerSecond: 10, maxWaitMs: 10_000 });
        let granted = 0;
        for (let call = 0; call < 30; call++) {
            void limiter.turn("claim").then(() => granted += 1);
        }
        await clock.advance(0);
        expect(granted).to.equal(10);
        await clock.advance(1000);
        expect(granted).to.be.within(19, 21);
    });

    it("lets claims go when status calls have used up their share", async () => {
        const clock = ManualClock.create();
        const limiter = CallLimiter.create({ clock, callsPerSecond: 10, maxWaitMs: 50 });
        const outcomes = [];
        for (let call = 0; call < 10; call++) {
            outcomes.push(limiter.turn("status"));
        }
        await clock.advance(60);
        const refused = (await Promise.all(outcomes)).filter(outcome => outcome.kind === "refused");
        expect(refused).to.have.length.greaterThan(0);
        expect(await limiter.turn("claim")).to.deep.equal({ kind: "granted" });
    });

    it("refuses with a time to come back instead of waiting beyond the bound", async () => {
        const clock = ManualClock.create();
        const limiter = CallLimiter.create({ clock, callsPerSecond: 1, maxWaitMs: 100 });
        await limiter.turn("read");
        const outcome = await limiter.turn("read");
        expect(outcome.kind).to.equal("refused");
    });
});
