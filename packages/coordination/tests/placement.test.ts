import { expect } from "chai";
import fc from "fast-check";
import {
    chooseSpares,
    consolidateMembers,
    type FreeVm,
    placeAcrossDomains,
    placeBestFit,
    placeFirstFit,
    replaceMembers,
} from "../src/index.js";

/** VMs named DOMAIN1, DOMAIN2 and so on. */
function vms(domains: Partial<Record<string, number>>): FreeVm[] {
    return Object.entries(domains).flatMap(([fabricDomain, count]) =>
        Array.from({ length: count ?? 0 }, (_, index) => ({ name: `${fabricDomain}${index + 1}`, fabricDomain }))
    );
}

const placements = [
    { title: "the tightest domain", place: placeBestFit, domains: { a: 5, b: 3, c: 4 }, count: 3, expected: "b" },
    { title: "the first domain", place: placeFirstFit, domains: { a: 5, b: 3, c: 4 }, count: 3, expected: "a" },
    { title: "several domains if none fits", place: placeBestFit, domains: { a: 2, b: 3 }, count: 4, expected: "a+b" },
    { title: "no domain", place: placeBestFit, domains: { a: 2, b: 1 }, count: 4, expected: undefined },
];

const replacements = [
    { title: "a spare of the same domain", free: { a: 1, b: 4 }, expected: ["x", "a1", "z"] },
    { title: "the whole group in another domain", free: { b: 4 }, expected: ["b1", "b2", "b3"] },
    { title: "a spare of another domain", free: { b: 2 }, expected: ["x", "b1", "z"] },
    { title: "nothing", free: {}, expected: undefined },
];

const consolidations = [
    { title: "the domain of most members", free: { a: 1 }, expected: ["a8", "a9", "a1"] },
    { title: "the other domain of a member", free: { b: 2 }, expected: ["b1", "b2", "b9"] },
    { title: "a third domain", free: { c: 3 }, expected: ["c1", "c2", "c3"] },
    { title: "nothing", free: { c: 2 }, expected: undefined },
];

describe("placement", () => {
    for (const { count, domains, expected, place, title } of placements) {
        it(`places a group in ${title}`, () => {
            expect(place(vms(domains), count)?.fabricDomain).to.equal(expected);
        });
    }

    for (const { expected, free, title } of replacements) {
        it(`replaces a member with ${title}`, () => {
            const kept = ["x", "", "z"];
            const members = replaceMembers({ kept, homeDomain: "a", free: vms(free), place: placeBestFit });
            expect(members).to.deep.equal(expected);
        });
    }

    for (const { expected, free, title } of consolidations) {
        it(`moves a group that spans domains to ${title}`, () => {
            const members = [
                { name: "a8", fabricDomain: "a" },
                { name: "a9", fabricDomain: "a" },
                { name: "b9", fabricDomain: "b" },
            ];
            expect(consolidateMembers({ members, free: vms(free), place: placeBestFit })).to.deep.equal(expected);
        });
    }

    it("chooses spares only from the given domain", () => {
        expect(chooseSpares(vms({ a: 1, b: 2 }), 2, "a")).to.equal(undefined);
        expect(chooseSpares(vms({ a: 1, b: 2 }), 2, "b")).to.deep.equal(["b1", "b2"]);
    });

    it("places every group that fits on distinct free VMs, in one domain whenever possible", () => {
        const domains = fc.record({ a: fc.nat(6), b: fc.nat(6), c: fc.nat(6) });
        const policy = fc.constantFrom(placeBestFit, placeFirstFit, placeAcrossDomains);
        fc.assert(
            fc.property(domains, fc.integer({ min: 1, max: 10 }), policy, (sizes, count, place) => {
                const free = vms(sizes);
                const placement = place(free, count);
                expect(placement !== undefined).to.equal(free.length >= count);
                const names = new Set(placement?.members ?? []);
                expect(names.size).to.equal(placement ? count : 0);
                expect([...names].every(name => free.some(vm => vm.name === name))).to.equal(true);
                const fitsOne = Math.max(...Object.values(sizes)) >= count;
                expect(placement?.inOneDomain ?? false).to.equal(placement !== undefined && fitsOne);
            }),
            { seed: 1, numRuns: 300 },
        );
    });
});
