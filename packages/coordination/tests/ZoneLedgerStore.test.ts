import type { ObjectStore } from "@fescuehaven/platform";
import type { ZoneLedger } from "@fescuehaven/resources";
import { ManualClock, MemoryObjectStore, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { LedgerDraft, ZoneLedgerStore } from "../src/index.js";

function createStores() {
    const clock = ManualClock.create();
    const store = MemoryObjectStore.create(clock);
    const open = (name: string, through: ObjectStore = store) =>
        ZoneLedgerStore.create({ store: through, random: SeededRandom.create(1, name), zone: "z" });
    return { clock, store, open, storedLedger: () => store.peek("zone-ledger", "z")?.value as ZoneLedger };
}

function claim(ledgers: ZoneLedgerStore, group: string, members: string[], fence = 1) {
    const draft = LedgerDraft.create(ledgers.current as ZoneLedger);
    draft.form(group, { modelVersion: "m", fabricDomain: "d", members });
    return ledgers.commit(draft.ledger, fence);
}

describe("ZoneLedgerStore", () => {
    it("claims all members of a group in one write", async () => {
        const { open, storedLedger, store } = createStores();
        const ledgers = open("a");
        await ledgers.refresh();
        expect(await claim(ledgers, "g", ["v1", "v2"])).to.deep.equal({ kind: "committed" });
        expect(store.calls.write).to.equal(1);
        expect(storedLedger().claims["v2"]).to.deep.equal({ group: "g", epoch: 1, rank: 1, state: "held" });
    });

    it("lets only one of two controllers claim a VM", async () => {
        const { open, storedLedger } = createStores();
        const [a, b] = [open("a"), open("b")];
        await a.refresh();
        await b.refresh();
        expect(await claim(a, "g", ["v1"])).to.deep.equal({ kind: "committed" });
        expect(await claim(b, "h", ["v1"])).to.deep.equal({ kind: "superseded" });
        expect(storedLedger().claims["v1"]?.group).to.equal("g");
        expect(b.current?.claims["v1"]?.group).to.equal("g");
    });

    it("refuses a ledger in which a VM belongs to two groups", async () => {
        const { open, store } = createStores();
        const ledgers = open("a");
        await ledgers.refresh();
        await claim(ledgers, "g", ["v1"]);
        expect(await claim(ledgers, "h", ["v1"])).to.have.property("kind", "invalid");
        expect(store.calls.write).to.equal(1);
    });

    it("does not overwrite a ledger that was written under a higher lease fence", async () => {
        const { open } = createStores();
        const [a, b] = [open("a"), open("b")];
        await a.refresh();
        await claim(a, "g", ["v1"], 2);
        await b.refresh();
        expect(await claim(b, "h", ["v2"], 1)).to.deep.equal({ kind: "superseded" });
    });

    for (const fault of ["loseNextAnswers", "loseNextWrites"] as const) {
        it(`resolves an update by its nonce after ${fault}`, async () => {
            const { open, storedLedger, store } = createStores();
            const ledgers = open("a");
            await ledgers.refresh();
            store.faults[fault] = 2;
            expect(await claim(ledgers, "g", ["v1"])).to.deep.equal({ kind: "committed" });
            expect(storedLedger().lastEpoch).to.equal(1);
            expect(ledgers.revision).to.equal(store.peek("zone-ledger", "z")?.revision);
        });
    }

    it("returns unresolved while it cannot read back, and resolves the update on refresh", async () => {
        const { open, store } = createStores();
        const through = Object.create(store) as ObjectStore;
        const ledgers = open("a", through);
        await ledgers.refresh();
        through.read = async () => ({ kind: "unavailable", retryAfterMs: 1 });
        store.faults.loseNextAnswers = 1;
        expect(await claim(ledgers, "g", ["v1"])).to.deep.equal({ kind: "unresolved" });
        expect(ledgers.current).to.equal(undefined);
        through.read = key => store.read(key);
        await ledgers.refresh();
        expect(ledgers.current?.claims["v1"]?.group).to.equal("g");
        expect(store.calls.write).to.equal(1);
    });

    it("returns superseded when its update was overwritten before it could be read back", async () => {
        const { open, store } = createStores();
        const [a, b] = [open("a"), open("b")];
        await a.refresh();
        const read = store.read.bind(store);
        store.read = async key => {
            store.read = read;
            await b.refresh();
            await claim(b, "h", ["v2"], 2);
            return read(key);
        };
        store.faults.loseNextAnswers = 1;
        expect(await claim(a, "g", ["v1"])).to.deep.equal({ kind: "superseded" });
        expect(Object.keys(a.current?.groups ?? {})).to.deep.equal(["g", "h"]);
    });
});
