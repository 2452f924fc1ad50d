import { expect } from "chai";
import { EvidenceRig } from "./util/EvidenceRig.js";

const ROUTERS = ["router-1", "router-2", "router-3"];
const MEMBERS = ["vm-1", "vm-2", "vm-3", "vm-4"];

describe("EvidenceExchange", () => {
    let rig: EvidenceRig;
    const isReady = (name: string) => rig.evidence(name).ready("g") !== undefined;

    beforeEach(async () => {
        rig = EvidenceRig.create([...ROUTERS, "controller-1"], MEMBERS);
        rig.start(...ROUTERS, "controller-1");
        await rig.clock.advance(1000);
    });

    afterEach(() => rig.stop());

    it("is ready everywhere while every member reports what the ledger claims", async () => {
        expect(ROUTERS.every(isReady)).to.be.true;
        expect(isReady("controller-1")).to.be.true;
    });

    it("splits the probing", async () => {
        const before = [...rig.processes.values()].map(process => process.probes);
        await rig.clock.advance(10_000);
        const probes = [...rig.processes.values()].map((process, index) => process.probes - (before[index] ?? 0));
        const expected = MEMBERS.length * 10_000 / 250;
        expect(probes.reduce((sum, count) => sum + count, 0)).to.be.within(expected * 0.8, expected * 1.05);
    });
});
