import { expect } from "chai";
import { Topology } from "../../src/peers/Topology.js";

const small = [{ vm: "a1", zone: "a" }, { vm: "a2", zone: "a" }, { vm: "b1", zone: "b" }];
const large = ["a", "b"].flatMap(zone => [1, 2, 3, 4, 5].map(index => ({ vm: `${zone}${index}`, zone })));
const noneSilent = () => false;

function followed(vm: string, isSilent: (vm: string) => boolean = noneSilent): string[] {
    return [...Topology.create(vm, vm[0]!).followed(large, isSilent)].sort();
}

describe("Topology", () => {
    it("lets all gateways follow each other in a small fleet", () => {
        const topology = Topology.create("a1", "a");
        expect([...topology.followed(small, noneSilent)].sort()).to.deep.equal(["a2", "b1"]);
        expect(topology.isHub(small, noneSilent)).to.equal(false);
    });

    it("lets other gateways follow the hubs of their zone", () => {
        expect(followed("a4")).to.deep.equal(["a1", "a2"]);
    });

    it("lets hubs follow their zone and the hubs of other zones", () => {
        expect(followed("a1")).to.deep.equal(["a2", "a3", "a4", "a5", "b1", "b2"]);
    });

    it("replaces hubs that fell silent", () => {
        const isSilent = (vm: string) => vm === "a1";
        expect(followed("a4", isSilent)).to.deep.equal(["a2", "a3"]);
        expect(Topology.create("a3", "a").isHub(large, isSilent)).to.equal(true);
    });

    describe("of VMs that differ in processor time", () => {
        /** As deployments name their VMs: the first three of a zone are large, and names sort as text. */
        const mixed = ["a", "b"].flatMap(zone =>
            Array.from({ length: 12 }, (_, index) => ({
                vm: `${zone}-${index + 1}`,
                zone,
                processorCores: index < 3 ? 1.35 : 0.324,
            }))
        );
        const hubsOf = (gateways: typeof mixed, isSilent: (vm: string) => boolean = noneSilent) =>
            Topology.create("a-4", "a").hubsOf("a", gateways, isSilent);

        // Guards against configurations that apply late at hubs which spend their little processor time on a hub's work.
        it("makes the VMs with the most processor time hubs, not the first ones by name", () => {
            expect(hubsOf(mixed)).to.deep.equal(["a-1", "a-2"]);
            expect(hubsOf(mixed, vm => vm === "a-1")).to.deep.equal(["a-2", "a-3"]);
        });

        // Guards against gateways of two builds that follow different hubs during a roll: earlier builds order by name.
        it("orders a zone by name while one of its gateways is of a build that states no processor time", () => {
            const ofTwoBuilds = mixed.map(({ vm, zone, processorCores }) =>
                vm === "a-7" ? { vm, zone } : { vm, zone, processorCores }
            );
            const topology = Topology.create("a-4", "a");
            expect(topology.hubsOf("a", ofTwoBuilds, noneSilent)).to.deep.equal(["a-1", "a-10"]);
            expect(topology.hubsOf("b", ofTwoBuilds, noneSilent)).to.deep.equal(["b-1", "b-2"]);
        });

        // Guards against a controller on a small VM after the first candidate was lost.
        it("ranks the VMs with the most processor time first as candidates", () => {
            const rankOf = (vm: string) => Topology.create(vm, vm[0]!).candidateRank(mixed, () => true);
            expect(["a-1", "b-1", "a-2", "b-2"].map(rankOf).sort()).to.deep.equal([0, 1, 3, 4]);
            expect(Math.min(rankOf("a-10"), rankOf("a-3"))).to.be.greaterThan(4);
        });
    });

    it("ranks candidates in zones with more gateways first", () => {
        const gateways = [{ vm: "a1", zone: "a" }, { vm: "b1", zone: "b" }, { vm: "b2", zone: "b" }];
        const ranks = gateways.map(({ vm, zone }) => Topology.create(vm, zone).candidateRank(gateways, () => true));
        expect(ranks).to.deep.equal([2, 0, 1]);
        expect(Topology.create("a1", "a").candidateRank(gateways, () => false)).to.equal(0);
    });

    it("ranks hubs first in large fleets", () => {
        const ranks = large.map(({ vm, zone }) => Topology.create(vm, zone).candidateRank(large, () => true));
        expect(Math.max(...[0, 1, 5, 6].map(index => ranks[index]!))).to.be.lessThan(
            Math.min(...[2, 3, 4, 7, 8, 9].map(index => ranks[index]!)),
        );
    });

    it("keeps the number of connections linear in the size of the fleet", () => {
        const gateways = ["a", "b", "c", "d"].flatMap(zone =>
            Array.from({ length: 20 }, (_, index) => ({ vm: `${zone}${String(index).padStart(2, "0")}`, zone }))
        );
        const connections = gateways.reduce(
            (sum, { vm, zone }) => sum + Topology.create(vm, zone).followed(gateways, noneSilent).size,
            0,
        );
        expect(connections).to.be.lessThan(gateways.length * 6);
    });
});
