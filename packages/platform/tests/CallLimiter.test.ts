import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { CallLimiter } from "../src/index.js";

describe("CallLimiter", () => {
    it("allows a burst, then limits the rate", async () => {
        const clock = ManualClock.create();
        const limiter = CallLimiter.create({ clock, callsPerSecond: 10, maxWaitMs: 10_000 });
        let granted = 0;
        for (let call = 0; call < 30; call++) {
            void limiter.acquire("claim").then(() => granted += 1);
        }
        await clock.advance(0);
        expect(granted).to.equal(10);
        await clock.advance(1000);
        expect(granted).to.be.within(19, 21);
    });

    it("allows claims when status calls have used up their share", async () => {
        const clock = ManualClock.create();
        const limiter = CallLimiter.create({ clock, callsPerSecond: 10, maxWaitMs: 50 });
        const outcomes = [];
        for (let call = 0; call < 10; call++) {
            outcomes.push(limiter.acquire("status"));
        }
        await clock.advance(60);
        const refused = (await Promise.all(outcomes)).filter(outcome => outcome.kind === "refused");
        expect(refused).to.have.length.greaterThan(0);
        expect(await limiter.acquire("claim")).to.deep.equal({ kind: "granted" });
    });

    it("refuses instead of waiting longer than the limit", async () => {
        const clock = ManualClock.create();
        const limiter = CallLimiter.create({ clock, callsPerSecond: 1, maxWaitMs: 100 });
        await limiter.acquire("read");
        const outcome = await limiter.acquire("read");
        expect(outcome.kind).to.equal("refused");
    });
});
