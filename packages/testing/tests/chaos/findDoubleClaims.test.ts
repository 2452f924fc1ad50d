import type { ZoneLedger } from "@fescuehaven/resources";
import { expect } from "chai";
import { findDoubleClaims } from "../../src/chaos/findDoubleClaims.js";

type Formation = Omit<ZoneLedger["groups"][string], "next">;

function formation(epoch: number, members: string[]): Formation {
    return { epoch, modelVersion: "m-1", fabricDomain: "domain-1", members };
}

function held(group: string, epoch: number, rank: number): ZoneLedger["claims"][string] {
    return { group, epoch, rank, state: "held" };
}

function ledger(groups: ZoneLedger["groups"], claims: ZoneLedger["claims"]): ZoneLedger {
    return { nonce: "n", leaseFence: 1, lastEpoch: 9, claims, groups };
}

const CLAIMS = { "vm-1": held("g", 1, 0), "vm-2": held("g", 1, 1), "vm-3": held("g", 2, 1) };

const cases: Array<{ name: string; value: ZoneLedger; violations: number; }> = [
    { name: "a single group", value: ledger({ g: formation(1, ["vm-1", "vm-2"]) }, CLAIMS), violations: 0 },
    { name: "a rank without a member", value: ledger({ g: formation(1, ["vm-1", ""]) }, CLAIMS), violations: 0 },
    {
        name: "a member that stays for the group's next formation",
        value: ledger({ g: { ...formation(1, ["vm-1", "vm-2"]), next: formation(2, ["vm-1", "vm-3"]) } }, CLAIMS),
        violations: 0,
    },
    {
        name: "a member that is being released",
        value: ledger({ g: formation(1, ["vm-1"]) }, {
            "vm-1": { group: "g", epoch: 4, rank: 0, state: "releasing" },
        }),
        violations: 0,
    },
    {
        name: "a VM in two groups",
        value: ledger({ g: formation(1, ["vm-1"]), h: formation(1, ["vm-1"]) }, CLAIMS),
        violations: 2,
    },
    { name: "a VM twice in a group", value: ledger({ g: formation(1, ["vm-1", "vm-1"]) }, CLAIMS), violations: 1 },
    { name: "a member without a claim", value: ledger({ g: formation(1, ["vm-9"]) }, CLAIMS), violations: 1 },
    { name: "a member with an old claim", value: ledger({ g: formation(5, ["vm-1"]) }, CLAIMS), violations: 1 },
];

describe("findDoubleClaims", () => {
    for (const { name, value, violations } of cases) {
        it(`finds ${violations} violations in ${name}`, () => {
            expect(findDoubleClaims(value)).to.have.length(violations);
        });
    }
});
