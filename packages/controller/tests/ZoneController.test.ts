import { expect } from "chai";
import { ZoneBench } from "./support/ZoneBench.js";

describe("ZoneController", () => {
    it("claims VMs, orders them to load, and reports ready when all members are present", async () => {
        const bench = ZoneBench.create({ d1: 4, d2: 3 });
        bench.addGroup("g", 3);
        bench.start("c1");
        await bench.until("ready", () => bench.isReady("g"));
        await bench.until("status", () => bench.status("g")?.phase === "ready");
        expect(bench.members("g")).to.deep.equal(["d2-1", "d2-2", "d2-3"]);
        expect(bench.status("g")).to.deep.include({ epoch: 1, reason: "all-present", modelVersion: "m-1" });
        expect(bench.status("g")?.transitions.map(change => change.phase)).to.deep.equal(["loading", "ready"]);
        await bench.close();
    });

    it("reloads a restarted member under the same claim", async () => {
        const bench = ZoneBench.create({ d1: 3 });
        bench.addGroup("g", 3);
        bench.start("c1");
        await bench.until("ready", () => bench.isReady("g"));
        bench.engines.restart("d1-2");
        await bench.until("ready again", () => bench.isReady("g"));
        await bench.run(500);
        expect(bench.recorder.ofKind("group-closed")).to.deep.equal([
            { kind: "group-closed", group: "g", epoch: 1, count: 24 },
        ]);
        expect(bench.recorder.ofKind("group-ready").at(-1)?.durationMs).to.be.within(1000, 1500);
        expect(bench.ledger?.groups["g"]?.epoch).to.equal(1);
        await bench.close();
    });

    it("replaces a dead member from the same domain, and only the spare loads weights", async () => {
        const bench = ZoneBench.create({ d1: 4, d2: 4 });
        bench.addGroup("g", 3);
        bench.start("c1");
        await bench.until("ready", () => bench.isReady("g"));
        const [, dead = ""] = bench.members("g");
        bench.engines.get(dead).reachable = false;
        const downMs = await bench.until("replaced", () => bench.isReady("g"));
        expect(bench.members("g")).to.deep.equal(["d1-1", "d1-4", "d1-3"]);
        expect(downMs).to.be.below(8000);
        expect(bench.ledger?.claims[dead]).to.deep.include({ group: "g", state: "releasing" });
        bench.engines.get(dead).reachable = true;
        await bench.until("freed", () => bench.ledger?.claims[dead] === undefined);
        expect(bench.engines.get(dead).held).to.equal(undefined);
        await bench.close();
    });
});
