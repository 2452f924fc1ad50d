import { expect } from "chai";
import { Topology } from "../../src/peers/Topology.js";

const small = [{ vm: "a1", zone: "a" }, { vm: "a2", zone: "a" }, { vm: "b1", zone: "b" }];
const large = ["a", "b"].flatMap(zone => [1, 2, 3, 4, 5].map(index => ({ vm: `${zone}${index}`, zone })));
const nobody = () => false;

function followed(vm: string, isSilent: (vm: string) => boolean = nobody): string[] {
    return [...Topology.create(vm, vm[0]!).followed(large, isSilent)].sort();
}

describe("Topology", () => {
    it("lets everybody follow everybody in a small fleet", () => {
        const topology = Topology.create("a1", "a");
        expect([...topology.followed(small, nobody)].sort()).to.deep.equal(["a2", "b1"]);
        expect(topology.isHub(small, nobody)).to.equal(false);
    });

    it("lets members follow the hubs of their zone", () => {
        expect(followed("a4")).to.deep.equal(["a1", "a2"]);
    });

    it("lets hubs follow their zone and the hubs of other zones", () => {
        expect(followed("a1")).to.deep.equal(["a2", "a3", "a4", "a5", "b1", "b2"]);
    });

    it("passes over hubs that fell silent", () => {
        const isSilent = (vm: string) => vm === "a1";
        expect(followed("a4", isSilent)).to.deep.equal(["a2", "a3"]);
        expect(Topology.create("a3", "a").isHub(large, isSilent)).to.equal(true);
    });

    it("gives the control to zones with more gateways first", () => {
        const members = [{ vm: "a1", zone: "a" }, { vm: "b1", zone: "b" }, { vm: "b2", zone: "b" }];
        const ranks = members.map(({ vm, zone }) => Topology.create(vm, zone).candidateRank(members, () => true));
        expect(ranks).to.deep.equal([2, 0, 1]);
        expect(Topology.create("a1", "a").candidateRank(members, () => false)).to.equal(0);
    });

    it("gives the control to hubs first in large fleets", () => {
        const ranks = large.map(({ vm, zone }) => Topology.create(vm, zone).candidateRank(large, () => true));
        expect(Math.max(...[0, 1, 5, 6].map(index => ranks[index]!))).to.be.lessThan(
            Math.min(...[2, 3, 4, 7, 8, 9].map(index => ranks[index]!)),
        );
    });

    it("grows with the fleet, not with its square", () => {
        const members = ["a", "b", "c", "d"].flatMap(zone =>
            Array.from({ length: 20 }, (_, index) => ({ vm: `${zone}${String(index).padStart(2, "0")}`, zone }))
        );
        const links = members.reduce(
            (sum, { vm, zone }) => sum + Topology.create(vm, zone).followed(members, nobody).size,
            0,
        );
        expect(links).to.be.lessThan(members.length * 6);
    });
});
