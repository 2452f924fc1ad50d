import { expect } from "chai";
import fc from "fast-check";
import { PeerClockBound } from "../src/PeerClockBound.js";

describe("PeerClockBound", () => {
    it("never places a timestamp later than it was made, whatever the delays", () => {
        const delayMs = fc.double({ min: 0, max: 10_000, noNaN: true });
        const step = fc.record({ waitMs: delayMs, outMs: delayMs, backMs: delayMs });
        const offsetMs = fc.double({ min: -1e6, max: 1e6, noNaN: true });
        const speed = fc.double({ min: 0.9996, max: 1.0004, noNaN: true });
        fc.assert(
            fc.property(offsetMs, speed, fc.array(step, { minLength: 1, maxLength: 20 }), (offset, rate, steps) => {
                const timestampAt = (localMs: number) => offset + localMs * rate;
                const bound = PeerClockBound.create();
                let nowMs = 0;
                for (const { waitMs, outMs, backMs } of steps) {
                    const requestedAtMs = nowMs + waitMs;
                    const respondedAtMs = requestedAtMs + outMs;
                    nowMs = respondedAtMs + backMs;
                    bound.addSample(requestedAtMs, timestampAt(respondedAtMs));
                    for (const madeAtMs of [requestedAtMs, respondedAtMs, nowMs]) {
                        expect(bound.earliest(timestampAt(madeAtMs))).to.be.at.most(madeAtMs + 1e-6);
                    }
                }
            }),
            { seed: 7, numRuns: 500 },
        );
    });

    it("is as tight as the fastest response allows", () => {
        const bound = PeerClockBound.create();
        bound.addSample(100, 1500);
        bound.addSample(700, 1701);
        expect(bound.earliest(1701)).to.equal(700);
        expect(bound.earliest(1801)).to.be.closeTo(800, 0.1);
    });
});
