import type { StoredObject } from "@fescuehaven/platform";
import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { WatchCache } from "../src/WatchCache.js";

function object(name: string, revision: number): StoredObject {
    return { kind: "things", name, revision, value: revision };
}

describe("WatchCache", () => {
    let clock: ManualClock;
    let cache: WatchCache;
    let isSourceResponding: boolean;
    const { signal } = new AbortController();

    beforeEach(() => {
        clock = ManualClock.create();
        isSourceResponding = true;
        cache = WatchCache.create(clock, () => isSourceResponding);
        cache.applyListing([object("a", 3)]);
        cache.advance(5);
    });

    it("lists its objects with the revision of the store", () => {
        expect(cache.list()).to.deep.equal({ isCurrent: true, objects: [object("a", 3)], revision: 5 });
    });

    it("returns changes to a waiting follower", async () => {
        const watching = cache.watch(5, 1000, signal);
        await clock.settle();
        cache.applyChange({ kind: "written", object: object("b", 7) });
        cache.applyChange({ kind: "removed", object: object("a", 3) });
        cache.advance(8);
        const seen = await watching;
        expect(seen.kind === "changed" && seen.changes.map(change => [change.kind, change.object.name])).to.deep.equal([
            ["written", "b"],
            ["removed", "a"],
        ]);
        expect(seen.kind === "changed" && seen.revision).to.equal(8);
        expect(cache.list()).to.deep.include({ objects: [object("b", 7)] });
    });

    // Guards against a hub that sends each follower versions which are already replaced.
    it("returns only the last of several changes of an object", async () => {
        for (const revision of [7, 8, 9]) {
            cache.applyChange({ kind: "written", object: object("b", revision) });
            cache.advance(revision);
        }
        const seen = await cache.watch(5, 1000, signal);
        expect(seen).to.deep.include({ changes: [{ kind: "written", object: object("b", 9) }], revision: 9 });
    });

    it("returns no changes after the wait", async () => {
        const watching = cache.watch(5, 1000, signal);
        await clock.advance(1001);
        expect(await watching).to.deep.equal({ kind: "changed", changes: [], revision: 5 });
    });

    it("waits if a follower knows a newer revision, and does not return an older one", async () => {
        const watching = cache.watch(9, 500, signal);
        await clock.advance(501);
        expect(await watching).to.deep.equal({ kind: "changed", changes: [], revision: 9 });
    });

    it("makes followers list again that are behind its last listing", async () => {
        expect(await cache.watch(4, 1000, signal)).to.deep.equal({ kind: "compacted" });
    });

    it("is unavailable to a waiting follower at once when the store does not respond", async () => {
        const watching = cache.watch(5, 6000, signal);
        await clock.advance(100);
        isSourceResponding = false;
        cache.interrupt();
        await clock.advance(1);
        expect((await watching).kind).to.equal("unavailable");
    });

    it("is unavailable while it is not kept up to date by the store", async () => {
        isSourceResponding = false;
        expect(cache.list()).to.deep.equal({ isCurrent: false, objects: [object("a", 3)], revision: 5 });
        expect((await cache.watch(5, 1000, signal)).kind).to.equal("unavailable");
    });

    describe("of a store that was restored from an older copy", () => {
        beforeEach(() => {
            cache.applyListing([object("a", 2)], 1);
            cache.advance(4);
        });

        it("states its era", () => {
            expect(cache.list()).to.deep.equal({ isCurrent: true, objects: [object("a", 2)], revision: 4, era: 1 });
        });

        it("makes followers of an older era list again, whatever their revision", async () => {
            for (const after of [3, 4, 9]) {
                expect(await cache.watch(after, 1000, signal, 0)).to.deep.equal({ kind: "compacted", era: 1 });
            }
        });

        it("makes a waiting follower of an older era list again at once", async () => {
            const watching = cache.watch(4, 1000, signal, 1);
            await clock.settle();
            cache.applyListing([], 2);
            cache.advance(4);
            await clock.settle();
            expect(await watching).to.deep.equal({ kind: "compacted", era: 2 });
        });

        it("is unavailable to followers of a newer era", async () => {
            expect((await cache.watch(4, 1000, signal, 2)).kind).to.equal("unavailable");
        });
    });
});
