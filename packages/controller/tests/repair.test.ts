import { expect } from "chai";
import { ZoneBench } from "./support/ZoneBench.js";

async function startWithReadyGroup(domains: Record<string, number>, memberCount: number): Promise<ZoneBench> {
    const bench = ZoneBench.create(domains);
    bench.addGroup("g", memberCount);
    bench.start("c1");
    bench.start("c2");
    await bench.until("ready", () => bench.isReady("g"));
    await bench.until("status", () => bench.status("g")?.phase === "ready");
    return bench;
}

describe("repair", () => {
    it("moves a group to another domain when its entire domain is unreachable", async () => {
        const bench = await startWithReadyGroup({ d1: 3, d2: 3 }, 3);
        const unreachable = bench.members("g");
        unreachable.forEach(vm => bench.engines.get(vm).reachable = false);
        await bench.until("moved", () => bench.isReady("g"));
        expect(bench.ledger?.groups["g"]?.fabricDomain).to.equal("d2");
        expect(unreachable.map(vm => bench.ledger?.claims[vm]?.state)).to.deep.equal([
            "releasing",
            "releasing",
            "releasing",
        ]);
        await bench.close();
    });

    it("spans domains only when no single domain has enough VMs, and reports it", async () => {
        const bench = await startWithReadyGroup({ d1: 2, d2: 2 }, 3);
        expect(bench.status("g")).to.deep.include({ phase: "ready", reason: "spans-domains" });
        expect(bench.ledger?.groups["g"]?.fabricDomain).to.equal("d1+d2");
        await bench.close();
    });

    it("moves a group that spans domains into one as soon as it has enough VMs, without closing it while weights load", async () => {
        const bench = await startWithReadyGroup({ d1: 2, d2: 2 }, 3);
        const record = { ...bench.engines.get("d1-1").record, name: "d1-3", enginePort: 50 };
        bench.engines.add(record);
        bench.vms.put(record);
        let closedWhileLoading = false;
        await bench.until("loaded", () => {
            const isLoaded = bench.engines.get("d1-3").report().phase === "ready";
            closedWhileLoading ||= !isLoaded && !bench.isReady("g");
            return isLoaded;
        });
        expect(closedWhileLoading).to.equal(false);
        await bench.until("moved", () => bench.isReady("g") && bench.ledger?.groups["g"]?.fabricDomain === "d1");
        expect(bench.members("g")).to.deep.equal(["d1-1", "d1-2", "d1-3"]);
        await bench.until("free", () => Object.keys(bench.ledger?.claims ?? {}).length === 3);
        await bench.close();
    });

    it("does not treat an unresponsive VM as free", async () => {
        const bench = await startWithReadyGroup({ d1: 3, d2: 1 }, 3);
        const unresponsive = bench.members("g")[1] ?? "";
        bench.engines.get(unresponsive).reachable = false;
        await bench.until("replaced", () => bench.isReady("g"));
        bench.addGroup("h", 1);
        await bench.run(90_000);
        expect(bench.ledger?.claims[unresponsive]).to.deep.include({ group: "g", state: "releasing" });
        expect(bench.status("h")).to.deep.include({ phase: "pending", reason: "no-room" });
        bench.engines.restart(unresponsive);
        bench.engines.get(unresponsive).reachable = true;
        await bench.until("h takes it", () => bench.isReady("h"));
        expect(bench.members("h")).to.deep.equal([unresponsive]);
        await bench.close();
    });

    it("frees the claim of a VM that is no longer listed and no longer reports", async () => {
        const bench = await startWithReadyGroup({ d1: 4 }, 3);
        const removedVm = bench.members("g")[0] ?? "";
        bench.engines.get(removedVm).reachable = false;
        bench.vms.remove(removedVm);
        await bench.until("replaced", () => bench.isReady("g"));
        await bench.run(40_000);
        expect(bench.ledger?.claims[removedVm]?.state).to.equal("releasing");
        await bench.until("freed", () => bench.ledger?.claims[removedVm] === undefined, 30_000);
        await bench.close();
    });

    it("does not treat a member as unresponsive because the controller itself was paused", async () => {
        const bench = ZoneBench.create({ d1: 4 });
        bench.addGroup("g", 3);
        const paused = bench.start("c1");
        await bench.until("ready", () => bench.isReady("g"));
        paused.pause();
        await bench.run(20_000);
        bench.evidence.unobservedVms.add("d1-2");
        paused.resume();
        await bench.run(4000);
        bench.evidence.unobservedVms.clear();
        await bench.run(5000);
        expect(bench.ledger?.groups["g"]?.epoch).to.equal(1);
        await bench.close();
    });

    it("re-forms a group when a member's name belongs to a VM at another address", async () => {
        const bench = await startWithReadyGroup({ d1: 3 }, 3);
        const record = { ...bench.engines.get("d1-2").record, enginePort: 999 };
        bench.engines.add(record);
        bench.vms.put(record);
        await bench.until("re-formed", () => bench.isReady("g") && bench.ledger?.groups["g"]?.epoch === 2);
        expect(bench.ledger?.groups["g"]?.memberUrls?.[1]).to.equal("http://127.0.0.1:999");
        await bench.close();
    });

    it("waits for an unresponsive member when there is no spare, and restores it under the same claim", async () => {
        const bench = await startWithReadyGroup({ d1: 3 }, 3);
        bench.engines.get("d1-2").reachable = false;
        await bench.until("status", () => bench.status("g")?.reason === "member-lost");
        expect(bench.status("g")?.phase).to.equal("broken");
        await bench.run(20_000);
        bench.engines.get("d1-2").reachable = true;
        await bench.until("ready", () => bench.isReady("g"));
        expect(bench.ledger?.groups["g"]?.epoch).to.equal(1);
        await bench.close();
    });

    it("reloads a restarted member during an outage of the platform, and claims nothing", async () => {
        const bench = await startWithReadyGroup({ d1: 4 }, 3);
        const before = structuredClone(bench.ledger);
        bench.store.faults.outage = true;
        await bench.run(10_000);
        bench.addGroup("h", 1);
        bench.engines.restart("d1-2");
        await bench.until("ready", () => bench.isReady("g"), 5000);
        await bench.run(5000);
        expect(bench.ledger).to.deep.equal(before);
        bench.store.faults.outage = false;
        await bench.until("h is ready", () => bench.isReady("h"));
        await bench.close();
    });

    for (const obeysFencing of [true, false]) {
        it(`a partitioned controller does not undo what a newer ledger changed (fencing: ${obeysFencing})`, async () => {
            const bench = ZoneBench.create({ d1: 3 }, { obeysFencing });
            bench.replicatesLedger = false;
            bench.addGroup("g", 3);
            const partitioned = bench.start("c1");
            await bench.until("ready", () => bench.isReady("g"));
            partitioned.isPlatformUnreachable = true;
            bench.start("c2");
            await bench.until("c2 is active", () => bench.controllers[1]?.isActive() === true);
            bench.configuration.remove("serving-group", "g");
            bench.addGroup("h", 3);
            await bench.until("h is ready", () => bench.isReady("h"), 20_000);
            const orders = bench.engines.all().flatMap(engine => engine.appliedOrders);
            const loadsOfG = orders.filter(order => order.kind === "load" && order.group === "g");
            expect(loadsOfG, "loads of g, the first ones included").to.have.length(3);
            bench.engines.restart("d1-2");
            await bench.until("h is ready again", () => bench.isReady("h"), 10_000);
            await bench.run(5000);
            expect(bench.isReady("h")).to.equal(true);
            await bench.close();
        });
    }

    it("forms a group while the platform is slow", async () => {
        const bench = ZoneBench.create({ d1: 4 });
        bench.store.faults.delayMs = 700;
        bench.addGroup("g", 3);
        bench.start("c1");
        bench.start("c2");
        await bench.until("ready", () => bench.isReady("g"));
        await bench.close();
    });

    it("uses an epoch above the fencing token that an engine has seen", async () => {
        const bench = ZoneBench.create({ d1: 3 });
        bench.engines.get("d1-2").highestFence = 40;
        bench.addGroup("g", 3);
        bench.start("c1");
        await bench.until("ready", () => bench.isReady("g"));
        expect(bench.ledger?.groups["g"]?.epoch).to.equal(41);
        await bench.close();
    });

    it("releases a member whose engine has seen a higher fencing token", async () => {
        const bench = await startWithReadyGroup({ d1: 3 }, 3);
        bench.engines.get("d1-2").highestFence = 100;
        bench.configuration.remove("serving-group", "g");
        await bench.until("free", () => bench.ledger?.groups["g"] === undefined);
        expect(bench.engines.get("d1-2").held).to.equal(undefined);
        await bench.close();
    });

    it("replaces a member that died together with the active controller as soon as another takes over", async () => {
        const bench = ZoneBench.create({ d1: 4 });
        bench.addGroup("g", 3);
        const active = bench.start("c1");
        await bench.until("ready", () => bench.isReady("g"));
        bench.start("c2");
        await bench.run(3000);
        active.kill();
        bench.engines.get("d1-2").reachable = false;
        await bench.until("taken over", () => bench.controllers[1]?.isActive() === true);
        await bench.until("replaced", () => bench.isReady("g"), 2000);
        await bench.close();
    });

    it("loads weights on no more members at once than allowed, nearly complete groups first", async () => {
        const bench = ZoneBench.create({ d1: 4, d2: 4 });
        bench.addGroup("g", 4);
        bench.start("c1", { timings: { maxConcurrentLoads: 2 } });
        await bench.until("ready", () => bench.isReady("g"));
        bench.addGroup("h", 4);
        await bench.until("claimed", () => bench.members("h").length === 4);
        bench.engines.restart("d1-3");
        let most = 0;
        await bench.until("both ready", () => {
            const loading = bench.engines.all().filter(engine => engine.report().phase === "loading").length;
            most = Math.max(most, loading);
            return bench.isReady("g") && bench.isReady("h");
        });
        expect(most).to.equal(2);
        const readyOrder = bench.recorder.ofKind("group-ready").map(event => event.group);
        expect(readyOrder).to.deep.equal(["g", "g", "h"]);
        await bench.close();
    });

    it("retries a lost status update, and writes nothing while nothing changes", async () => {
        const bench = await startWithReadyGroup({ d1: 3 }, 3);
        const writes = () => bench.store.calls.write;
        bench.engines.restart("d1-2");
        await bench.run(300);
        bench.store.faults.loseNextWrites = 3;
        await bench.until("status", () => bench.status("g")?.transitions.at(-1)?.phase === "ready", 20_000);
        await bench.run(5000);
        const before = writes();
        await bench.run(6000);
        expect(writes() - before, "only lease renewals").to.be.at.most(5);
        await bench.close();
    });
});
