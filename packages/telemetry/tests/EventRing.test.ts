import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { compareTimestamps, EventRing, HybridClock } from "../src/index.js";

function createRing(capacity: number): EventRing {
    const hybridClock = HybridClock.create(ManualClock.create());
    return EventRing.create({ hybridClock, process: "router-1", zone: "zone-a", capacity });
}

describe("EventRing", () => {
    it("keeps the newest events and counts the dropped ones", () => {
        const ring = createRing(3);
        for (const vm of ["a", "b", "c", "d", "e"]) {
            ring.record({ kind: "member-lost", vm });
        }
        expect(ring.read({}).map(event => event.vm)).to.deep.equal(["c", "d", "e"]);
        expect(ring.dropped).to.equal(2);
    });

    it("filters by request, group and VM", () => {
        const ring = createRing(10);
        ring.record({ kind: "request-received", requestId: "r1" });
        ring.record({ kind: "request-dispatched", requestId: "r1", group: "g1" });
        ring.record({ kind: "request-received", requestId: "r2" });
        expect(ring.read({ requestId: "r1" })).to.have.length(2);
        expect(ring.read({ requestId: "r1", group: "g1" })).to.have.length(1);
        expect(ring.read({ limit: 1 })[0]?.requestId).to.equal("r2");
    });
});

describe("HybridClock", () => {
    it("orders every event after the timestamps that the process has received", () => {
        const clock = ManualClock.create();
        const ahead = HybridClock.create(ManualClock.create(new Date("2026-01-01T00:00:05Z")));
        const behind = HybridClock.create(clock);
        const sent = ahead.next();
        behind.observe(sent);
        expect(compareTimestamps(behind.next(), sent)).to.be.greaterThan(0);
    });

    it("ignores a peer whose clock is far ahead", () => {
        const wrong = HybridClock.create(ManualClock.create(new Date("2030-01-01T00:00:00Z")));
        const right = HybridClock.create(ManualClock.create());
        right.observe(wrong.next());
        expect(right.next().wallMs).to.equal(new Date("2026-01-01T00:00:00Z").getTime());
    });
});
