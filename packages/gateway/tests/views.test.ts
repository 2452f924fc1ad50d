import type { ObjectStore } from "@fescuehaven/platform";
import { ManualClock, MemoryObjectStore, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { setMaxListeners } from "node:events";
import { ActiveConfiguration } from "../src/ActiveConfiguration.js";
import { EvacuatedZones } from "../src/EvacuatedZones.js";
import type { Route } from "../src/model/Route.js";
import type { ServingConfiguration } from "../src/model/ServingConfiguration.js";
import { StoreEras } from "../src/StoreEras.js";
import { StoreWatch } from "../src/StoreWatch.js";
import { UpstreamDirectory } from "../src/UpstreamDirectory.js";
import { exampleUpstream } from "./support/exampleUpstream.js";
import { noMetrics } from "./support/noMetrics.js";
import { SilentDecisionLog } from "./support/SilentDecisionLog.js";

function configuration(version: number, routes: ReadonlyArray<Partial<Route>> = []): ServingConfiguration {
    return {
        version,
        routes: routes as Route[],
        services: new Map(),
        hasAccounts: false,
        accountsByKey: new Map(),
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
}

describe("ActiveConfiguration", () => {
    const routes = [
        { name: "root", host: "h.test", pathPrefix: "/" },
        { name: "deep", host: "h.test", pathPrefix: "/a/b/" },
        { name: "mid", host: "h.test", pathPrefix: "/a/" },
        { name: "other", host: "o.test", pathPrefix: "/a/" },
    ];

    const cases: ReadonlyArray<[string, string, string | undefined]> = [
        ["h.test", "/", "root"],
        ["h.test", "/a", "root"],
        ["h.test", "/a/x", "mid"],
        ["h.test", "/a/b/c?d=/e/", "deep"],
        ["H.TEST:8080", "/a/b/", "deep"],
        ["o.test", "/a/b/", "other"],
        ["o.test", "/b/", undefined],
        ["o.test", "/b?x=/a/", undefined],
        ["none.test", "/", undefined],
    ];
    for (const [host, target, expected] of cases) {
        it(`routes ${host}${target} to ${expected ?? "nothing"}`, () => {
            const active = ActiveConfiguration.create(SilentDecisionLog.create());
            active.adopt(configuration(1, routes));
            expect(active.match(host, target)?.name).to.equal(expected);
        });
    }

    it("never goes back to an older version", () => {
        const active = ActiveConfiguration.create(SilentDecisionLog.create());
        [3, 7, 5].forEach(version => active.adopt(configuration(version)));
        expect(active.current?.version).to.equal(7);
    });
});

describe("ActiveConfiguration of a store that was restored from an older copy", () => {
    it("stays, and logs once that the store is behind", () => {
        const log = SilentDecisionLog.create();
        const active = ActiveConfiguration.create(log);
        const behind = () => log.lines.filter(({ event }) => event.startsWith("the store's configuration is older"));
        [3, 7, 5, 5].forEach(version => active.adopt(configuration(version)));
        expect([active.current?.version, behind().map(({ fields }) => fields)]).to.deep.equal([
            7,
            [{ version: 5, active: 7 }],
        ]);
        [7, 7, 5].forEach(version => active.adopt(configuration(version)));
        expect([active.current?.version, behind().length]).to.deep.equal([7, 2]);
    });

    it("stays, and logs once, if the store has none", () => {
        const log = SilentDecisionLog.create();
        const active = ActiveConfiguration.create(log);
        active.recordAbsence();
        active.adopt(configuration(3));
        expect(log.lines.length).to.equal(1);
        active.recordAbsence();
        active.recordAbsence();
        expect([active.current?.version, log.lines.length]).to.deep.equal([3, 2]);
    });
});

describe("UpstreamDirectory", () => {
    let clock: ManualClock;
    let directory: UpstreamDirectory;

    beforeEach(() => {
        clock = ManualClock.create();
        directory = UpstreamDirectory.create({ clock, log: SilentDecisionLog.create(), returnGraceMs: 1800 });
        directory.set(exampleUpstream("u1"));
        directory.set(exampleUpstream("u2"));
    });

    it("logs changes that affect where requests are sent, but not those of other group members", () => {
        const log = SilentDecisionLog.create();
        const logged = UpstreamDirectory.create({ clock, log, returnGraceMs: 1800 });
        const group = { name: "g", epoch: 7, rank: 0 };
        const changes: Array<[Parameters<typeof exampleUpstream>[1], boolean]> = [
            [{ domain: "d" }, false],
            [{ domain: "d", group: { ...group, phase: "joining" } }, false],
            [{ domain: "d", group: { ...group, phase: "open" } }, true],
            [{ domain: "d", group: { ...group, phase: "open" }, stagedModels: ["m"] }, false],
            [{ domain: "d", group: { ...group, phase: "closing" } }, true],
            [{ domain: "d", group: { ...group, phase: "ready" } }, false],
            [{ domain: "d", group: { ...group, phase: "ready" }, state: "draining" }, true],
            [{ domain: "", startedAtMs: 2 }, true],
        ];
        for (const [change, isLogged] of changes) {
            const before = log.lines.length;
            logged.set(exampleUpstream("u", change));
            expect(log.lines.length - before, JSON.stringify(change)).to.equal(isLogged ? 1 : 0);
        }
    });

    function ids(): string[] {
        return [...directory.all()].map(upstream => upstream.id);
    }

    it("removes upstreams at once that are missing from an ordinary listing", () => {
        directory.replaceAll([exampleUpstream("u2")], false);
        expect(ids()).to.deep.equal(["u2"]);
    });

    it("keeps upstreams for a while that are missing from a listing after an outage", async () => {
        directory.replaceAll([exampleUpstream("u2")], true);
        await clock.advance(1700);
        directory.expireMissing();
        expect(ids()).to.deep.equal(["u1", "u2"]);
        await clock.advance(200);
        directory.expireMissing();
        expect(ids()).to.deep.equal(["u2"]);
    });

    it("keeps upstreams that register again after an outage", async () => {
        directory.replaceAll([], true);
        directory.set(exampleUpstream("u1"));
        await clock.advance(5000);
        directory.expireMissing();
        expect(ids()).to.deep.equal(["u1"]);
    });

    describe("of a store that was restored from an older copy", () => {
        const group = { name: "g", epoch: 5, rank: 0, phase: "open" as const };
        const cases: ReadonlyArray<[string, Parameters<typeof exampleUpstream>[1], boolean]> = [
            ["an older registration", { registrationNumber: 3 }, false],
            ["the known registration", { registrationNumber: 4 }, false],
            ["a newer registration", { registrationNumber: 5 }, true],
            ["an earlier instance", { startedAtMs: 900, registrationNumber: 9 }, false],
            ["a later instance", { startedAtMs: 1100, registrationNumber: 1 }, true],
        ];
        for (const [title, changes, isApplied] of cases) {
            it(`${isApplied ? "applies" : "ignores"} ${title}`, () => {
                directory.set(exampleUpstream("u1", { registrationNumber: 4, group }));
                directory.replaceAll([exampleUpstream("u1", changes), exampleUpstream("u2")], true, true);
                expect(directory.get("u1")?.group === undefined).to.equal(isApplied);
            });
        }

        it("ignores an older registration also in a later listing", () => {
            directory.set(exampleUpstream("u1", { registrationNumber: 4, group }));
            directory.replaceAll([exampleUpstream("u1", { registrationNumber: 3 })], false);
            expect(directory.get("u1")?.group).to.deep.equal(group);
        });

        it("keeps upstreams for the whole grace period that are missing again from a later listing", async () => {
            directory.replaceAll([exampleUpstream("u2")], true, true);
            await clock.advance(1700);
            directory.replaceAll([exampleUpstream("u2")], false);
            expect(ids()).to.deep.equal(["u1", "u2"]);
            await clock.advance(200);
            directory.expireMissing();
            expect(ids()).to.deep.equal(["u2"]);
        });

        it("adds a removed upstream only if the store has not removed it again", async () => {
            const listed = ["u1", "u2"].map(id => exampleUpstream(id));
            listed.forEach(({ id }) => directory.remove(id, "registration removed"));
            directory.replaceAll(listed, true, true);
            directory.replaceAll(listed, false);
            await clock.advance(4900);
            directory.expireMissing();
            expect(ids()).to.deep.equal([]);
            directory.remove("u1", "registration removed");
            await clock.advance(200);
            directory.expireMissing();
            expect(ids()).to.deep.equal(["u2"]);
        });

        it("adds a removed upstream at once when it registers again or has restarted", () => {
            ["u1", "u2"].forEach(id => directory.remove(id, "registration removed"));
            directory.replaceAll([exampleUpstream("u1"), exampleUpstream("u2", { startedAtMs: 1100 })], true, true);
            expect(ids()).to.deep.equal(["u2"]);
            directory.set(exampleUpstream("u1"));
            expect(ids()).to.deep.equal(["u2", "u1"]);
        });
    });

    const recordCases: ReadonlyArray<
        [string, { epoch: number; phase: "joining" | "ready" | "open" | "closing"; }, boolean]
    > = [
        ["an older epoch", { epoch: 4, phase: "open" }, true],
        ["the same epoch, about to open", { epoch: 5, phase: "ready" }, true],
        ["the same epoch, closing", { epoch: 5, phase: "closing" }, false],
        ["a newer epoch", { epoch: 6, phase: "joining" }, false],
    ];
    for (const [title, group, isApplied] of recordCases) {
        it(`${isApplied ? "applies" : "ignores"} the controller's report of an open group if the head has registered ${title}`, () => {
            directory.set(exampleUpstream("u1", { group: { name: "g", rank: 0, ...group } }));
            directory.recordOpenGroup({ head: "u1", name: "g", epoch: 5, model: "m" });
            const seen = directory.get("u1")?.group;
            expect(seen?.epoch === 5 && seen.phase === "open").to.equal(isApplied);
        });
    }
});

describe("EvacuatedZones of a store that was restored from an older copy", () => {
    let clock: ManualClock;
    let zones: EvacuatedZones;

    beforeEach(() => {
        clock = ManualClock.create();
        const log = SilentDecisionLog.create();
        zones = EvacuatedZones.create({ clock, log, returnGraceMs: 1800, onChange: () => undefined });
        zones.replaceAll(new Set(["a", "b"]), false);
        zones.set("b", false);
        zones.replaceAll(new Set(["b"]), true);
    });

    async function evacuatedAfter(durationMs: number): Promise<string[]> {
        await clock.advance(durationMs);
        zones.settle();
        return ["a", "b"].filter(zone => zones.has(zone));
    }

    it("keeps the known states while operators can repeat their changes", async () => {
        expect(await evacuatedAfter(1700)).to.deep.equal(["a"]);
        zones.replaceAll(new Set(["b"]), false);
        expect(await evacuatedAfter(0)).to.deep.equal(["a"]);
        zones.set("a", true);
        zones.set("b", false);
        expect(await evacuatedAfter(5000)).to.deep.equal(["a"]);
    });

    it("applies the copy's states that operators have not changed in time", async () => {
        expect(await evacuatedAfter(1900)).to.deep.equal(["b"]);
    });

    it("applies changes at once", async () => {
        zones.set("a", false);
        zones.set("b", true);
        expect(await evacuatedAfter(0)).to.deep.equal(["b"]);
    });
});

describe("StoreWatch", () => {
    let clock: ManualClock;
    let store: MemoryObjectStore;
    let seen: string[];
    let stop: AbortController;
    let watch: StoreWatch;
    let eras: StoreEras;

    beforeEach(async () => {
        clock = ManualClock.create();
        store = MemoryObjectStore.create(clock);
        seen = [];
        stop = new AbortController();
        eras = StoreEras.create({ clock, log: SilentDecisionLog.create(), metrics: noMetrics });
        watch = StoreWatch.create({
            store,
            eras,
            maxRelistDelayMs: () => 100,
            kind: "things",
            clock,
            random: SeededRandom.create(1),
            log: SilentDecisionLog.create(),
            metrics: noMetrics,
            waitMs: () => 2000,
            pauseMs: () => 100,
            onListing: (objects, isAfterOutage) =>
                seen.push(`list ${objects.length}${isAfterOutage ? " after outage" : ""}`),
            onChange: change => seen.push(`${change.kind} ${change.object.name}`),
        });
        await store.write({ kind: "things", name: "a" }, 1, 0);
        void watch.run(stop.signal);
        await clock.advance(10);
    });

    afterEach(() => stop.abort());

    it("lists objects, then follows changes", async () => {
        await store.write({ kind: "things", name: "b" }, 1, 0);
        await clock.advance(200);
        await store.remove({ kind: "things", name: "a" }, 1);
        await clock.advance(200);
        expect(seen).to.deep.equal(["list 1", "written b", "removed a"]);
        expect(watch.isConnected).to.equal(true);
    });

    // Guards against a gateway without processor time that activates versions which are already replaced.
    it("applies only the last of several changes of an object", async () => {
        await store.write({ kind: "things", name: "b" }, 1, 0);
        await clock.advance(20);
        // The watch pauses now; its next response has all of these.
        await store.write({ kind: "things", name: "b" }, 2, 2);
        await store.write({ kind: "things", name: "c" }, 1, 0);
        await store.write({ kind: "things", name: "b" }, 3, 3);
        await store.remove({ kind: "things", name: "a" }, 1);
        await store.write({ kind: "things", name: "a" }, 2, 0);
        await clock.advance(200);
        expect(seen).to.deep.equal(["list 1", "written b", "written c", "written b", "written a"]);
    });

    it("lists again when the history was compacted", async () => {
        await store.write({ kind: "things", name: "b" }, 1, 0);
        await clock.advance(20);
        // The watch pauses now; the change made meanwhile is in the history that is compacted.
        await store.write({ kind: "things", name: "c" }, 1, 0);
        store.compact();
        await clock.advance(200);
        expect(seen).to.deep.equal(["list 1", "written b", "list 3"]);
    });

    it("continues during an outage, reports its age, and marks the listing after the outage", async () => {
        store.faults.outage = true;
        await clock.advance(8000);
        expect(watch.isConnected).to.equal(false);
        expect(watch.ageMs).to.be.greaterThan(4000);
        store.faults.outage = false;
        await clock.advance(1000);
        expect(seen.at(-1)).to.equal("list 1 after outage");
        expect(watch.isConnected).to.equal(true);
    });

    describe("of a store that was restored from an older copy", () => {
        it("lists again at once, although its revision exists again", async () => {
            const copy = store.copy();
            await store.write({ kind: "things", name: "b" }, 1, 0);
            await clock.advance(200);
            store.restore(copy);
            await store.write({ kind: "things", name: "c" }, 1, 0);
            await store.write({ kind: "things", name: "d" }, 1, 0);
            await clock.advance(300);
            expect(seen).to.deep.equal(["list 1", "written b", "list 3 after outage"]);
            await store.write({ kind: "things", name: "e" }, 1, 0);
            await clock.advance(200);
            expect(seen.at(-1)).to.equal("written e");
        });

        it("lists again at once after another part of the gateway has learned of the era", async () => {
            const { watch: watches } = store.calls;
            eras.observe(1, 1);
            store.restore(store.copy());
            await clock.advance(100);
            expect([seen.at(-1), store.calls.watch - watches]).to.deep.equal(["list 1 after outage", 1]);
        });

        it("does not apply a listing of an older era", async () => {
            eras.observe(2, 1);
            store.restore(store.copy());
            await clock.advance(1000);
            expect([seen, watch.isConnected]).to.deep.equal([["list 1"], false]);
            store.restore(store.copy());
            await clock.advance(1000);
            expect([seen, watch.isConnected]).to.deep.equal([["list 1", "list 1 after outage"], true]);
        });

        it("logs when all objects are known again, and measures the time", async () => {
            const log = SilentDecisionLog.create();
            const observed: Array<[string, number]> = [];
            const metrics = { ...noMetrics, observe: (name: string, ms: number) => observed.push([name, ms]) };
            const following = StoreWatch.create({
                store,
                eras,
                maxRelistDelayMs: () => 100,
                kind: "things",
                clock,
                random: SeededRandom.create(1),
                log,
                metrics,
                waitMs: () => 2000,
                pauseMs: () => 100,
                onListing: () => undefined,
                onChange: () => undefined,
            });
            void following.run(stop.signal);
            await clock.advance(100);
            store.restore(store.copy());
            await clock.advance(500);
            const lines = log.lines.filter(({ event }) => event === "restored store was read again");
            expect(lines.map(({ fields }) => [fields.kind, fields.era])).to.deep.equal([["things", 1]]);
            expect(observed.map(([name]) => name)).to.deep.equal(["restoredRead"]);
            expect(observed[0]?.[1]).to.be.within(0, 1000);
        });

        it("logs the new era once", async () => {
            const log = SilentDecisionLog.create();
            const logged = StoreEras.create({ clock, log, metrics: noMetrics });
            const revisions: Array<[number, number]> = [[0, 8], [1, 5], [1, 6], [0, 9]];
            revisions.forEach(([era, revision]) => logged.observe(era, revision));
            expect(log.lines.map(({ fields }) => fields)).to.deep.equal([
                { era: 1, before: 0, revision: 5, revisionBefore: 8 },
            ]);
        });
    });

    it("keeps 79 gateways within the read rate when the store is restored from an older copy", async () => {
        setMaxListeners(0, stop.signal);
        const kinds = ["config", "servers", "evacuations", "leases", "gateways"];
        const times: number[] = [];
        const relisted = new Set<string>();
        for (let gateway = 0; gateway < 79; gateway++) {
            const log = SilentDecisionLog.create();
            const gatewayEras = StoreEras.create({ clock, log, metrics: noMetrics });
            for (const kind of kinds) {
                const counted: ObjectStore = {
                    read: key => store.read(key),
                    write: (key, value, expected) => store.write(key, value, expected),
                    remove: (key, expected) => store.remove(key, expected),
                    list: listed => {
                        times.push(clock.monotonicMs());
                        return store.list(listed);
                    },
                    watch: (...args) => {
                        times.push(clock.monotonicMs());
                        return store.watch(...args);
                    },
                };
                const following = StoreWatch.create({
                    store: counted,
                    eras: gatewayEras,
                    maxRelistDelayMs: () => 400,
                    kind,
                    clock,
                    random: SeededRandom.create(gateway),
                    log,
                    metrics: noMetrics,
                    waitMs: () => 2200,
                    pauseMs: () => 50,
                    onListing: (_, isAfterOutage) => isAfterOutage && relisted.add(`${gateway} ${kind}`),
                    onChange: () => undefined,
                });
                void following.run(stop.signal);
            }
        }
        await clock.advance(1000);
        times.length = 0;
        store.restore(store.copy());
        await clock.advance(1000);
        expect([relisted.size, times.length <= 2000]).to.deep.equal([79 * kinds.length, true]);
    });
});
