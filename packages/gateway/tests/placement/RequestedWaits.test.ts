import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { RequestedWaits } from "../../src/placement/RequestedWaits.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";

describe("RequestedWaits", () => {
    const upstream = exampleUpstream("u1");
    let clock: ManualClock;
    let waits: RequestedWaits;

    beforeEach(() => {
        clock = ManualClock.create();
        waits = RequestedWaits.create({ clock, log: SilentDecisionLog.create() });
    });

    it("is not shortened by a later rejection", async () => {
        waits.recordWait(upstream, 3000);
        await clock.advance(1000);
        waits.recordWait(upstream, 500);
        expect(waits.waitMs(upstream)).to.equal(2000);
        waits.recordWait(upstream, 2500);
        expect(waits.waitMs(upstream)).to.equal(2500);
        await clock.advance(2500);
        expect(waits.waitMs(upstream)).to.equal(0);
    });

    it("is not ended by the response to a request that was sent before the rejection", async () => {
        const sentAtMs = clock.monotonicMs();
        await clock.advance(10);
        waits.recordWait(upstream, 3000);
        await clock.advance(10);
        waits.recordServed(upstream, sentAtMs);
        expect(waits.waitMs(upstream)).to.equal(2990);
    });

    it("lets one request through during a long wait", async () => {
        waits.recordWait(upstream, 1e12);
        await clock.advance(10_000);
        expect(waits.waitMs(upstream)).to.equal(0);
        waits.recordAttempt(upstream);
        expect(waits.waitMs(upstream)).to.equal(1e12 - 10_000);
        waits.recordWait(upstream, 5000);
        await clock.advance(60_000);
        expect(waits.waitMs(upstream)).to.equal(1e12 - 70_000);
    });

    it("ends with the instance", () => {
        waits.recordWait(upstream, 3000);
        expect(waits.waitMs({ ...upstream, startedAtMs: upstream.startedAtMs + 1 })).to.equal(0);
    });

    it("keeps no waits that are over", async () => {
        for (let index = 0; index < 1000; index++) {
            waits.recordWait(exampleUpstream(`u${index}`), 100);
            await clock.advance(10);
        }
        expect(waits.size).to.be.at.most(11);
    });
});
