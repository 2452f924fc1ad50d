import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { FleetDemand } from "../../src/placement/FleetDemand.js";
import { hash32 } from "../../src/util/hash32.js";

const POOL = { service: "llm", model: "large" };

describe("FleetDemand", () => {
    let clock: ManualClock;
    let known: number;
    let demand: FleetDemand;

    beforeEach(() => {
        clock = ManualClock.create();
        known = 1;
        demand = FleetDemand.create({ clock, zone: "a", knownGateways: () => known });
    });

    it("counts the last full second by rank and account", async () => {
        for (let index = 0; index < 6; index++) {
            const account = `account-${Math.floor(Math.sqrt(index))}`;
            demand.record({ ...POOL, kind: "offered", rank: 101, account });
        }
        demand.record({ ...POOL, kind: "admitted", rank: 101 });
        demand.record({ ...POOL, kind: "late", rank: 101 });
        demand.record({ ...POOL, kind: "offered", rank: 3 });
        demand.record({ ...POOL, kind: "refused", rank: 3 });
        expect(demand.poolDemand("llm", "large").offeredPerSecond).to.equal(0);
        await clock.advance(1300);
        demand.record({ ...POOL, kind: "offered", rank: 0 });
        expect(demand.poolDemand("llm", "large")).to.deep.equal({
            offeredPerSecond: 7,
            admittedPerSecond: 1,
            refusedPerSecond: 1,
            latePerSecond: 1,
            ranks: [
                { rank: 3, offered: 1, admitted: 0, refused: 1, late: 0, accounts: [] },
                {
                    rank: 101,
                    offered: 6,
                    admitted: 1,
                    refused: 0,
                    late: 1,
                    accounts: [[hash32("account-1"), 3], [hash32("account-2"), 2], [hash32("account-0"), 1]],
                },
            ],
            ageMs: 300,
            isComplete: true,
        });
        expect(demand.poolDemand("llm", "small").ranks).to.deep.equal([]);
        expect(demand.zoneDemand("llm", "large", "a").offeredPerSecond).to.equal(7);
        expect(demand.zoneDemand("llm", "large", "b").offeredPerSecond).to.equal(0);
        // A second that nobody has asked about was without requests.
        await clock.advance(3000);
        expect(demand.poolDemand("llm", "large").offeredPerSecond).to.equal(0);
    });

    // Guards against decisions on figures of gateways that may be gone.
    it("leaves out a report that is older than two seconds, and is incomplete then", async () => {
        known = 4;
        demand.setPeerReport("hub", {
            gateways: 3,
            ageMs: 900,
            pools: [{
                ...POOL,
                zone: "b",
                ranks: [{ rank: 1, offered: 30, admitted: 30, refused: 0, late: 0, accounts: [] }],
            }],
        });
        await clock.advance(1000);
        expect(demand.poolDemand("llm", "large")).to.include({ offeredPerSecond: 30, isComplete: true, ageMs: 1425 });
        expect(demand.report(() => true)).to.include({ gateways: 4, ageMs: 1425 });
        expect(demand.report(() => false)).to.include({ gateways: 1 });
        expect(demand.reportWithout("hub")).to.deep.equal({ gateways: 1, ageMs: 0, pools: [] });
        expect(demand.poolDemand("llm", "large").offeredPerSecond).to.equal(30);
        await clock.advance(200);
        expect(demand.poolDemand("llm", "large")).to.include({ offeredPerSecond: 0, isComplete: false });
        expect(demand.reportingGateways).to.equal(1);
    });

    // Guards against figures that grow with the number of accounts.
    it("reports the four accounts with the most requests", async () => {
        for (let account = 1; account <= 9; account++) {
            for (let request = 0; request < account; request++) {
                demand.record({ ...POOL, kind: "offered", rank: 1, account: `account-${account}` });
            }
        }
        await clock.advance(1000);
        const { pools: [pool] } = demand.report(() => true);
        expect(pool!.ranks[0]!.accounts).to.deep.equal([9, 8, 7, 6].map(count => [hash32(`account-${count}`), count]));
        // Figures of several gateways name accounts only while requests are refused or late.
        demand.setPeerReport("peer", { pools: [pool!], gateways: 1, ageMs: 0 });
        const accountsOfTwo = () => demand.report(() => true).pools[0]!.ranks[0]!.accounts;
        expect(accountsOfTwo()).to.deep.equal([]);
        const short = { ...pool!.ranks[0]!, late: 2 };
        demand.setPeerReport("peer", { pools: [{ ...pool!, ranks: [short] }], gateways: 1, ageMs: 0 });
        expect(accountsOfTwo()[0]).to.deep.equal([hash32("account-9"), 18]);
    });
});
