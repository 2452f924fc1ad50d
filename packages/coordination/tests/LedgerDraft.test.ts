import type { ZoneLedger } from "@fescuehaven/resources";
import { expect } from "chai";
import { findLedgerErrors, LedgerDraft } from "../src/index.js";

const empty: ZoneLedger = { nonce: "", leaseFence: 0, lastEpoch: 0, claims: {}, groups: {} };

function planned(...members: string[]) {
    return { modelVersion: "m", fabricDomain: "d", members };
}

describe("LedgerDraft", () => {
    it("does not change the ledger that it was created from", () => {
        LedgerDraft.create(empty).form("g", planned("v1"));
        expect(empty.claims).to.deep.equal({});
    });

    it("assigns separate epochs to a formation and to each release", () => {
        const draft = LedgerDraft.create(empty);
        draft.form("g", planned("v1", "v2", "v3"));
        draft.form("g", planned("v1", "v4", "v5"));
        const epochs = Object.fromEntries(Object.entries(draft.ledger.claims).map(([vm, claim]) => [vm, claim.epoch]));
        expect(epochs).to.deep.equal({ v1: 2, v4: 2, v5: 2, v2: 3, v3: 4 });
        expect(findLedgerErrors(draft.ledger)).to.deep.equal([]);
    });

    it("claims only new members for the next formation, and adopts it at its epoch", () => {
        const draft = LedgerDraft.create(empty);
        draft.form("g", planned("v1", "v2"));
        draft.prepareNext("g", planned("v1", "v3"));
        expect(draft.ledger.claims["v1"]?.epoch).to.equal(1);
        expect(draft.ledger.claims["v3"]).to.deep.equal({ group: "g", epoch: 2, rank: 1, state: "held" });
        draft.adoptNext("g");
        expect(draft.ledger.groups["g"]).to.deep.include({ epoch: 2, members: ["v1", "v3"] });
        expect(draft.ledger.claims["v2"]).to.deep.include({ state: "releasing", epoch: 3 });
        expect(findLedgerErrors(draft.ledger)).to.deep.equal([]);
    });

    it("releases the new members of a next formation that is abandoned", () => {
        const draft = LedgerDraft.create(empty);
        draft.form("g", planned("v1", "v2"));
        draft.prepareNext("g", planned("v1", "v3"));
        draft.abandonNext("g");
        expect(draft.ledger.claims["v3"]?.state).to.equal("releasing");
        expect(draft.ledger.groups["g"]?.members).to.deep.equal(["v1", "v2"]);
        expect(findLedgerErrors(draft.ledger)).to.deep.equal([]);
    });

    it("leaves the rank of a freed member empty", () => {
        const draft = LedgerDraft.create(empty);
        draft.form("g", planned("v1", "v2"));
        draft.release("v2");
        draft.free("v2");
        expect(draft.ledger.groups["g"]?.members).to.deep.equal(["v1", ""]);
        expect(findLedgerErrors(draft.ledger)).to.deep.equal([]);
    });
});

describe("findLedgerErrors", () => {
    const claim = { group: "g", epoch: 1, rank: 0, state: "held" } as const;
    const entry = { epoch: 1, ...planned("v1") };
    const cases: Array<{ title: string; ledger: Partial<ZoneLedger>; }> = [
        { title: "a VM in two groups", ledger: { claims: { v1: claim }, groups: { g: entry, h: entry } } },
        { title: "a member without a claim", ledger: { claims: {}, groups: { g: entry } } },
        { title: "a claim without a member", ledger: { claims: { v2: claim }, groups: {} } },
        { title: "an epoch past the last", ledger: { lastEpoch: 0, claims: { v1: claim }, groups: { g: entry } } },
    ];
    for (const { ledger, title } of cases) {
        it(`finds ${title}`, () => {
            expect(findLedgerErrors({ ...empty, lastEpoch: 1, ...ledger })).to.not.deep.equal([]);
        });
    }
});
