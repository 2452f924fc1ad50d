import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { ExchangePartners } from "../src/ExchangePartners.js";
import type { Peer } from "../src/index.js";

const peer = (name: string, zone: string): Peer => ({ name, zone, role: "router", url: `http://${name}` });
const NEAR = peer("near", "a");
const FAR = peer("far", "b");

describe("ExchangePartners", () => {
    let clock: ManualClock;

    const create = (...peers: Peer[]) =>
        ExchangePartners.create({
            process: "me",
            zone: "a",
            peers: { list: () => peers },
            clock,
            random: SeededRandom.create(1),
        });

    beforeEach(() => {
        clock = ManualClock.create();
    });

    it("has one ring within the zone", () => {
        expect(create(FAR, NEAR).choose("zone-successor")).to.equal(NEAR);
        expect(create(FAR).choose("zone-successor")).to.be.undefined;
    });

    it("reaches every process on the ring of the system", () => {
        const names = Array.from({ length: 20 }, (_, index) => `p-${index}`);
        const next = (name: string) =>
            ExchangePartners.create({
                process: name,
                zone: "a",
                peers: { list: () => names.filter(other => other !== name).map(other => peer(other, "a")) },
                clock,
                random: SeededRandom.create(1),
            }).choose("successor")?.name ?? "";
        const reached = new Set<string>();
        for (let name = "p-0"; !reached.has(name); name = next(name)) {
            reached.add(name);
        }
        expect(reached.size).to.equal(names.length);
    });

    it("skips a peer for a time after a second failure, and counts failed calls over one connection once", async () => {
        const partners = create(NEAR);
        await clock.advance(1000);
        expect(partners.recordFailure(NEAR, 0)).to.be.true;
        expect(partners.recordFailure(NEAR, 500)).to.be.false;
        expect(partners.choose("random")).to.equal(NEAR);
        expect(partners.recordFailure(NEAR, 1000)).to.be.true;
        expect(partners.choose("random")).to.be.undefined;
        await clock.advance(3000);
        expect(partners.choose("random")).to.equal(NEAR);
        partners.recordSuccess(NEAR);
        expect(partners.recordFailure(NEAR, 4000)).to.be.true;
        expect(partners.choose("random")).to.equal(NEAR);
    });
});
