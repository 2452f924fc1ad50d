import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { LeavingInstances } from "../../src/placement/LeavingInstances.js";

describe("LeavingInstances", () => {
    let clock: ManualClock;
    let registered: Map<string, number>;

    beforeEach(() => {
        clock = ManualClock.create();
        registered = new Map();
    });

    function create(): LeavingInstances {
        return LeavingInstances.create({ clock, isRegistered: (id, atMs) => registered.get(id) === atMs });
    }

    it("means one instance, and is not replaced by an older one", () => {
        const leaving = create();
        expect([leaving.record("u1", 20), leaving.record("u1", 20), leaving.record("u1", 10)]).to.deep.equal([
            true,
            false,
            false,
        ]);
        expect([leaving.has("u1", 10), leaving.has("u1", 20), leaving.has("u1", 30)]).to.deep.equal([
            false,
            true,
            false,
        ]);
        expect([leaving.record("u1", 30), leaving.has("u1", 20)]).to.deep.equal([true, false]);
    });

    it("remembers an instance for as long as it is registered, and some time longer", async () => {
        const leaving = create();
        registered.set("u1", 20);
        leaving.record("u1", 20);
        leaving.record("u2", 20);
        await clock.advance(60_001);
        leaving.sweep();
        expect([leaving.has("u1", 20), leaving.has("u2", 20)]).to.deep.equal([true, false]);
    });

    it("is forgotten by all gateways that report it to each other", async () => {
        const gateways = [create(), create(), create()];
        gateways[0]!.record("u1", 20);
        for (let atMs = 0; atMs < 70_000; atMs += 500) {
            await clock.advance(500);
            gateways.forEach(gateway =>
                gateways.flatMap(other => other.reports()).forEach(({ upstream, startedAtMs, ageMs }) =>
                    gateway.record(upstream, startedAtMs, ageMs)
                )
            );
            gateways.forEach(gateway => gateway.sweep());
        }
        expect(gateways.map(({ size }) => size)).to.deep.equal([0, 0, 0]);
    });
});
