import { ManualClock, MemoryObjectStore, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { ActiveConfiguration } from "../src/ActiveConfiguration.js";
import type { Route } from "../src/model/Route.js";
import type { ServingConfiguration } from "../src/model/ServingConfiguration.js";
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

describe("StoreWatch", () => {
    let clock: ManualClock;
    let store: MemoryObjectStore;
    let seen: string[];
    let stop: AbortController;
    let watch: StoreWatch;

    beforeEach(async () => {
        clock = ManualClock.create();
        store = MemoryObjectStore.create(clock);
        seen = [];
        stop = new AbortController();
        watch = StoreWatch.create({
            store,
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
});
