import { SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { chooseMembers } from "../../src/fleet/chooseMembers.js";
import { planGroups } from "../../src/fleet/planGroups.js";
import { exampleEngine } from "../support/exampleEngine.js";
import { exampleUpstream } from "../support/exampleUpstream.js";

const { models } = exampleEngine;

function domains(...freeCounts: number[]) {
    return freeCounts.map((freeCount, index) => ({ domain: `d${index}`, freeCount, largestGroupCount: 0 }));
}

function countOf(planned: ReturnType<typeof planGroups>, model: string): number {
    return planned.filter(group => group.model === model).length;
}

describe("planGroups", () => {
    it("plans one large and one small group in each domain of eleven VMs", () => {
        const planned = planGroups(models, new Map(), domains(11, 11, 11, 11, 11, 11), true);
        expect([countOf(planned, "large"), countOf(planned, "small")]).to.deep.equal([6, 6]);
    });

    it("plans a group of every model before a second one of any model", () => {
        const planned = planGroups(models, new Map(), domains(6, 6), true);
        expect(new Set(planned.map(group => group.model))).to.deep.equal(new Set(["large", "small"]));
    });

    it("does not use the VMs of a large group for small ones while VMs are still registering", () => {
        const planned = planGroups(models, new Map([["small", 1]]), domains(4, 5, 3), false);
        expect(planned).to.deep.equal([]);
    });

    const fleets: ReadonlyArray<
        { title: string; domainCount: number; size: number; factor: number; groups: number[]; }
    > = [
        { title: "six domains of eleven", domainCount: 6, size: 11, factor: 1, groups: [6, 6] },
        { title: "eight domains of 27", domainCount: 8, size: 27, factor: 2, groups: [8, 16] },
    ];
    for (const { title, domainCount, size, factor, groups } of fleets) {
        for (const seed of [1, 2, 3]) {
            it(`plans the same groups when the VMs of ${title} register one by one (seed ${seed})`, () => {
                const random = SeededRandom.create(seed);
                const share = factor === 1 ? undefined : 0.5;
                const scaled = models.map(model => ({
                    ...model,
                    memberCount: model.memberCount * factor,
                    demandShare: share ?? model.demandShare,
                }));
                const states = domains(...Array.from({ length: domainCount }, () => 0));
                const unregistered = states.flatMap(state => Array.from({ length: size }, () => state));
                const counts = new Map<string, number>();
                const plan = (isStable: boolean) => {
                    for (const { domain, model } of planGroups(scaled, counts, states, isStable)) {
                        const state = states.find(item => item.domain === domain)!;
                        state.freeCount -= scaled.find(item => item.name === model)!.memberCount;
                        state.largestGroupCount += model === "large" ? 1 : 0;
                        counts.set(model, (counts.get(model) ?? 0) + 1);
                    }
                };
                while (unregistered.length > 0) {
                    unregistered.splice(Math.floor(random.next() * unregistered.length), 1)[0]!.freeCount += 1;
                    plan(false);
                }
                plan(true);
                expect([counts.get("large"), counts.get("small")]).to.deep.equal(groups);
            });
        }
    }

    it("uses the remaining VMs for small groups once all VMs have registered", () => {
        const planned = planGroups(models, new Map([["large", 2], ["small", 1]]), domains(4, 5, 2), true);
        expect(planned).to.deep.equal([{ domain: "d1", model: "small" }, { domain: "d0", model: "small" }]);
    });

    it("plans larger groups in larger fleets", () => {
        const large = models.map(model => ({ ...model, memberCount: model.memberCount * 2, demandShare: 0.5 }));
        const planned = planGroups(large, new Map(), domains(27, 27, 27, 27, 27, 27, 27, 27), true);
        expect([countOf(planned, "large"), countOf(planned, "small")]).to.deep.equal([8, 16]);
    });
});

describe("chooseMembers", () => {
    const staying = [exampleUpstream("m1"), exampleUpstream("m2")];
    const free = [
        exampleUpstream("f1"),
        exampleUpstream("f2", { stagedModels: ["small"] }),
        exampleUpstream("f3", { stagedModels: ["large"] }),
        exampleUpstream("f4", { stagedModels: ["large"], model: "large" }),
    ];

    const cases: ReadonlyArray<{ title: string; count: number; expected?: string[]; }> = [
        {
            title: "keeps the staying members in order and adds the VM with the model in memory",
            count: 3,
            expected: ["m1", "m2", "f4"],
        },
        { title: "then adds the VM with the model on its host", count: 4, expected: ["m1", "m2", "f4", "f3"] },
        {
            title: "then adds an empty VM before one with another model",
            count: 5,
            expected: ["m1", "m2", "f4", "f3", "f1"],
        },
        { title: "chooses no more VMs than needed", count: 2, expected: ["m1", "m2"] },
        { title: "returns undefined if there are too few VMs", count: 7, expected: undefined },
    ];
    for (const { title, count, expected } of cases) {
        it(title, () => {
            expect(chooseMembers("large", count, staying, free)?.map(member => member.id)).to.deep.equal(expected);
        });
    }
});
