import { expect } from "chai";
import { ZoneBench } from "./support/ZoneBench.js";

async function startWithReadyGroup(domains: Record<string, number>, memberCount: number): Promise<ZoneBench> {
    const bench = ZoneBench.create(domains);
    bench.addGroup("g", memberCount);
    bench.start("c1");
    await bench.until("ready", () => bench.isReady("g"));
    await bench.until("status", () => bench.status("g")?.phase === "ready");
    return bench;
}

describe("maintenance intents", () => {
    it("loads a spare for a VM that is taken out of service, and closes the group only while it drains", async () => {
        const bench = await startWithReadyGroup({ d1: 4 }, 3);
        bench.engines.get("d1-1").runningRequests = 1;
        bench.addIntent("i", "vm", "d1-2");
        await bench.until("spare ready", () => bench.engines.get("d1-4").report().phase === "ready");
        expect(bench.members("g")).to.deep.equal(["d1-1", "d1-2", "d1-3"]);
        await bench.until("closed", () => !bench.isReady("g"));
        await bench.run(5000);
        expect(bench.engines.get("d1-2").held, "still has a request").to.not.equal(undefined);
        bench.engines.get("d1-1").runningRequests = 0;
        const downMs = await bench.until("ready", () => bench.isReady("g"));
        expect(bench.members("g")).to.deep.equal(["d1-1", "d1-4", "d1-3"]);
        expect(downMs).to.be.below(1000);
        await bench.until("free", () => bench.ledger?.claims["d1-2"] === undefined);
        await bench.close();
    });

    it("takes a VM out of service without a spare, and re-forms the group when all intents are removed", async () => {
        const bench = await startWithReadyGroup({ d1: 3 }, 3);
        bench.addIntent("i", "vm", "d1-2");
        bench.addIntent("j", "vm", "d1-2");
        await bench.until("free", () => bench.ledger?.claims["d1-2"] === undefined);
        await bench.until("status", () => bench.status("g")?.reason === "no-spare");
        bench.configuration.remove("maintenance-intent", "i");
        await bench.run(5000);
        expect(bench.isReady("g")).to.equal(false);
        bench.configuration.remove("maintenance-intent", "j");
        await bench.until("ready", () => bench.isReady("g"));
        await bench.close();
    });

    it("takes a fabric domain out of service", async () => {
        const bench = await startWithReadyGroup({ d1: 3, d2: 4 }, 3);
        bench.addIntent("i", "fabric-domain", "d1");
        await bench.until("moved", () => bench.isReady("g") && bench.ledger?.groups["g"]?.fabricDomain === "d2");
        await bench.until("free", () => Object.keys(bench.ledger?.claims ?? {}).every(vm => vm.startsWith("d2")));
        await bench.close();
    });

    it("keeps members loaded while any of several intents takes their availability zone out of service", async () => {
        const bench = await startWithReadyGroup({ d1: 3 }, 3);
        bench.addIntent("i", "availability-zone", "z1");
        bench.addIntent("j", "availability-zone", "z1");
        await bench.until("status", () => bench.status("g")?.phase === "out-of-service");
        bench.configuration.remove("maintenance-intent", "i");
        await bench.run(5000);
        expect(bench.status("g")?.phase).to.equal("out-of-service");
        bench.configuration.remove("maintenance-intent", "j");
        await bench.until("status", () => bench.status("g")?.phase === "ready");
        expect(bench.ledger?.groups["g"]?.epoch).to.equal(1);
        await bench.close();
    });

    it("closes a group at once when one of its VMs is leaving, and moves the member to a spare", async () => {
        const bench = await startWithReadyGroup({ d1: 4 }, 3);
        const record = bench.vms.get("d1-2");
        bench.vms.put({ ...record!, state: "leaving" });
        await bench.until("closed", () => !bench.isReady("g"), 1000);
        await bench.until("moved", () => bench.isReady("g"));
        expect(bench.members("g")).to.deep.equal(["d1-1", "d1-4", "d1-3"]);
        await bench.close();
    });

    it("uses another spare when the first one dies while it loads", async () => {
        const bench = await startWithReadyGroup({ d1: 5 }, 3);
        bench.addIntent("i", "vm", "d1-2");
        await bench.until("prepared", () => bench.ledger?.groups["g"]?.next !== undefined);
        bench.engines.get("d1-4").reachable = false;
        await bench.until("moved", () => bench.isReady("g") && bench.members("g").includes("d1-5"));
        await bench.close();
    });

    it("drains a deleted group, then unloads and frees its VMs", async () => {
        const bench = await startWithReadyGroup({ d1: 3 }, 3);
        bench.engines.get("d1-1").runningRequests = 2;
        bench.configuration.remove("serving-group", "g");
        await bench.run(5000);
        expect(bench.isReady("g")).to.equal(false);
        expect(bench.engines.get("d1-1").held).to.not.equal(undefined);
        bench.engines.get("d1-1").runningRequests = 0;
        await bench.until("free", () => bench.ledger?.groups["g"] === undefined);
        expect(bench.ledger?.claims).to.deep.equal({});
        expect(bench.engines.all().every(engine => engine.held === undefined)).to.equal(true);
        await bench.until("status", () => bench.status("g")?.reason === "deleted");
        await bench.close();
    });

    it("unloads a deleted group after the drain limit even if requests are still running", async () => {
        const bench = await startWithReadyGroup({ d1: 3 }, 3);
        bench.engines.get("d1-1").runningRequests = 2;
        bench.configuration.remove("serving-group", "g");
        await bench.until("free", () => bench.ledger?.groups["g"] === undefined, 15_000);
        await bench.close();
    });
});

describe("roll-out", () => {
    it("loads the new version beside the old one if VMs are free, and keeps serving while it loads", async () => {
        const bench = await startWithReadyGroup({ d1: 3, d2: 3 }, 3);
        bench.addGroup("g", 3, "m-2");
        await bench.until("loaded", () => bench.engines.get("d2-1").report().phase === "ready");
        expect(bench.isReady("g")).to.equal(true);
        expect(bench.evidence.ready("g")?.modelVersion).to.equal("m-1");
        await bench.until("rolled", () => bench.evidence.ready("g")?.modelVersion === "m-2");
        await bench.until("free", () => Object.keys(bench.ledger?.claims ?? {}).length === 3);
        await bench.close();
    });

    it("rolls out to two groups in place, one after the other", async () => {
        const bench = ZoneBench.create({ d1: 4 });
        bench.addGroup("g", 2);
        bench.addGroup("h", 2);
        bench.start("c1");
        await bench.until("ready", () => bench.isReady("g") && bench.isReady("h"));
        bench.addGroup("g", 2, "m-2");
        bench.addGroup("h", 2, "m-2");
        const isRolled = (group: string) => bench.evidence.ready(group)?.modelVersion === "m-2";
        let fewest = 2;
        await bench.until("rolled", () => {
            fewest = Math.min(fewest, ["g", "h"].filter(group => bench.isReady(group)).length);
            return isRolled("g") && isRolled("h");
        });
        expect(fewest).to.equal(1);
        await bench.close();
    });

    it("does not close a group at once because its evidence is missing", async () => {
        const bench = await startWithReadyGroup({ d1: 3 }, 3);
        bench.engines.get("d1-1").runningRequests = 1;
        bench.evidence.unobservedVms.add("d1-3");
        bench.addGroup("g", 3, "m-2");
        await bench.run(2000);
        expect(bench.ledger?.groups["g"]?.epoch).to.equal(1);
        bench.evidence.unobservedVms.clear();
        bench.engines.get("d1-1").runningRequests = 0;
        await bench.until("rolled", () => bench.evidence.ready("g")?.modelVersion === "m-2");
        await bench.close();
    });

    it("does not write the status of a group that has moved to another availability zone", async () => {
        const bench = await startWithReadyGroup({ d1: 3 }, 3);
        const spec = bench.configuration.get("serving-group", "g")!.value;
        bench.configuration.put("serving-group", "g", { ...spec, zone: "z2" });
        await bench.until("free", () => bench.ledger?.groups["g"] === undefined);
        expect(bench.status("g")?.phase).to.equal("ready");
        await bench.close();
    });

    it("does not roll out a model version that is not known", async () => {
        const bench = await startWithReadyGroup({ d1: 3 }, 3);
        bench.addGroup("g", 3, "m-9");
        await bench.run(3000);
        expect(bench.evidence.ready("g")?.modelVersion).to.equal("m-1");
        await bench.close();
    });
});
