import { expect } from "chai";
import { ManualClock, MemoryObjectStore } from "../src/index.js";

const key = { kind: "route", name: "a" };

describe("MemoryObjectStore", () => {
    it("updates only at the expected revision", async () => {
        const store = MemoryObjectStore.create(ManualClock.create());
        expect(await store.write(key, 1, 0)).to.deep.equal({ kind: "committed", revision: 1 });
        expect(await store.write(key, 2, 0)).to.deep.equal({ kind: "conflict", current: 1 });
    });

    it("loses the response of a write that took effect", async () => {
        const store = MemoryObjectStore.create(ManualClock.create());
        store.faults.loseNextAnswers = 1;
        expect(await store.write(key, 1, 0)).to.deep.equal({ kind: "unknown" });
        expect(store.peek("route", "a")?.value).to.equal(1);
    });

    it("wakes a waiting watch", async () => {
        const clock = ManualClock.create();
        const store = MemoryObjectStore.create(clock);
        const watch = store.watch(["route"], 0, 1000, new AbortController().signal);
        await clock.settle();
        await store.write(key, 1, 0);
        expect(await watch).to.have.property("kind", "changed");
    });
});
