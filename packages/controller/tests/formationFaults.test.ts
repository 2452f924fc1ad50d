import { expect } from "chai";
import { ZoneBench } from "./support/ZoneBench.js";

/** Time within which another controller takes over. */
const TAKEOVER_MS = 30_000;

const fencing = [{ obeysFencing: true }, { obeysFencing: false }];

/** Counts the calls to the platform and to engines that a controller makes until both groups' status is ready. */
async function countFormationCalls(obeysFencing: boolean): Promise<number> {
    const bench = ZoneBench.create({ d1: 3, d2: 3 }, { obeysFencing });
    bench.addGroup("g", 3);
    bench.addGroup("h", 2);
    const process = bench.start("c1");
    await bench.until("status", () => ["g", "h"].every(group => bench.status(group)?.phase === "ready"));
    await bench.close();
    expect(process.callCount).to.be.above(15);
    return process.callCount;
}

describe("formation under faults", () => {
    for (const { obeysFencing } of fencing) {
        for (const takesEffect of [true, false]) {
            it(`survives a kill at each call (call takes effect: ${takesEffect}, fencing: ${obeysFencing})`, async () => {
                const calls = await countFormationCalls(obeysFencing);
                for (let call = 1; call <= calls; call++) {
                    const bench = ZoneBench.create({ d1: 3, d2: 3 }, { obeysFencing });
                    bench.addGroup("g", 3);
                    bench.addGroup("h", 2);
                    bench.start("c1", { prepare: process => process.killAt(call, takesEffect) });
                    await bench.run(500);
                    bench.start("c2");
                    await bench.until(`both ready after call ${call}`, () => bench.isReady("g") && bench.isReady("h"));
                    expect(Object.keys(bench.ledger?.claims ?? {}), `leftovers after call ${call}`).to.have.length(5);
                    await bench.close();
                }
            });
        }
    }

    for (const fault of ["loseNextAnswers", "loseNextWrites"] as const) {
        it(`survives ${fault} at each write`, async () => {
            for (let write = 0; write < 8; write++) {
                const bench = ZoneBench.create({ d1: 3, d2: 3 });
                bench.addGroup("g", 3);
                bench.addGroup("h", 2);
                bench.start("c1");
                bench.start("c2");
                await bench.until(`write ${write}`, () => bench.store.calls.write >= write);
                bench.store.faults[fault] = 1;
                await bench.until("both ready", () => bench.isReady("g") && bench.isReady("h"));
                await bench.until("status", () => bench.status("h")?.phase === "ready");
                expect(Object.keys(bench.ledger?.claims ?? {})).to.have.length(5);
                await bench.close();
            }
        });
    }

    for (const { obeysFencing } of fencing) {
        it(`repairs the effect of a late order from a paused controller (fencing: ${obeysFencing})`, async () => {
            const bench = ZoneBench.create({ d1: 3, d2: 3 }, { obeysFencing });
            bench.addGroup("g", 3);
            const paused = bench.start("c1");
            bench.engines.all().forEach(engine => engine.delaysOrders = true);
            await bench.until("orders in flight", () => bench.engines.get("d1-1").delayedOrders.length > 0);
            paused.pause();
            bench.engines.all().forEach(engine => engine.delaysOrders = false);
            bench.configuration.remove("serving-group", "g");
            bench.start("c2");
            await bench.until("released", () => bench.ledger?.groups["g"] === undefined, TAKEOVER_MS);
            bench.addGroup("h", 3);
            await bench.until("h is ready", () => bench.isReady("h"));
            const late = bench.members("h").map(vm => bench.engines.deliver(vm));
            expect(late).to.deep.equal([1, 1, 1]);
            bench.check();
            expect(bench.isReady("h")).to.equal(obeysFencing);
            paused.resume();
            await bench.until("repaired", () => bench.isReady("h"));
            await bench.until("status", () => bench.status("h")?.phase === "ready");
            await bench.run(5000);
            expect(bench.isReady("h")).to.equal(true);
            await bench.close();
        });
    }

    it("gives each release a higher fencing token than the loads before it, so that a late load is refused", async () => {
        const bench = ZoneBench.create({ d1: 1 });
        bench.addGroup("g", 1);
        const paused = bench.start("c1");
        const engine = bench.engines.get("d1-1");
        engine.delaysOrders = true;
        await bench.until("order in flight", () => engine.delayedOrders.length > 0);
        paused.pause();
        engine.delaysOrders = false;
        bench.configuration.remove("serving-group", "g");
        bench.start("c2");
        await bench.until("released", () => bench.ledger?.groups["g"] === undefined);
        expect(bench.engines.deliver("d1-1")).to.equal(1);
        expect(engine.held).to.equal(undefined);
        await bench.close();
    });

    it("unloads a free VM on which a late order loaded a model, before claiming it", async () => {
        const bench = ZoneBench.create({ d1: 3 }, { obeysFencing: false });
        bench.start("c1");
        await bench.run(500);
        const order = { kind: "load", fence: 0, group: "old", modelVersion: "m-1", weightsGiB: 1, rank: 0 } as const;
        bench.engines.get("d1-2").apply({ ...order, memberUrls: [] });
        bench.addGroup("g", 3);
        await bench.until("ready", () => bench.isReady("g"));
        expect(bench.engines.get("d1-2").appliedOrders.map(obeyed => obeyed.kind)).to.deep.equal([
            "load",
            "unload",
            "load",
        ]);
        await bench.close();
    });

    it("keeps the invariants while two controllers both consider themselves active", async () => {
        const bench = ZoneBench.create({ d1: 4, d2: 4 }, { obeysFencing: false });
        const forever = { durationMs: 600_000, renewEveryMs: 500_000, safetyMarginMs: 0 };
        bench.start("c1", { leaseTimings: forever });
        await bench.run(300);
        bench.start("c2", { leaseTimings: { ...forever, takeoverMarginMs: -600_000 } });
        await bench.run(300);
        expect(bench.controllers.map(controller => controller.isActive())).to.deep.equal([true, true]);
        for (const group of ["g", "h", "i"]) {
            bench.addGroup(group, 2);
        }
        await bench.until("all ready", () => ["g", "h", "i"].every(group => bench.isReady(group)));
        bench.configuration.remove("serving-group", "g");
        bench.engines.restart(bench.members("h")[1] ?? "");
        bench.engines.get(bench.members("i")[0] ?? "").reachable = false;
        await bench.until("both ready", () => bench.isReady("h") && bench.isReady("i"));
        await bench.until("released", () => bench.ledger?.groups["g"] === undefined);
        await bench.close();
    });
});
