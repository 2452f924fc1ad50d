import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { chooseMembers } from "../../src/fleet/chooseMembers.js";
import { DemandPlanner } from "../../src/fleet/DemandPlanner.js";
import { planGroups } from "../../src/fleet/planGroups.js";
import { shareOfDemand } from "../../src/fleet/shareOfDemand.js";
import { exampleEngine } from "../support/exampleEngine.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { FleetRig } from "../support/FleetRig.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";

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

    describe("with domains that have just enough VMs for their groups", () => {
        const shortOf = (...names: string[]) => ({
            shares: new Map<string, number>(),
            zoneShares: new Map(),
            zoneGroupCounts: new Map(),
            shortModels: new Set(names),
        });

        const caseC = [
            { ...models[0]!, memberCount: 8, demandShare: 0.5 },
            { ...models[1]!, memberCount: 2, demandShare: 0.5 },
        ];
        const nineDomains = domains(...Array.from({ length: 9 }, () => 18));

        // Each domain had five groups of two beside one of eight, and no spare for any of them.
        it("keeps spares instead of a further small group", () => {
            const planned = planGroups(caseC, new Map(), nineDomains, true);
            expect([countOf(planned, "large"), countOf(planned, "small")]).to.deep.equal([9, 36]);
        });

        it("keeps the small group of a domain that has only one", () => {
            const planned = planGroups(models, new Map(), domains(9, 9), true);
            expect([countOf(planned, "large"), countOf(planned, "small")]).to.deep.equal([2, 2]);
        });

        it("uses the spares while the small model is short of groups", () => {
            const planned = planGroups(caseC, new Map(), nineDomains, true, shortOf("small"));
            expect(8 * countOf(planned, "large") + 2 * countOf(planned, "small")).to.equal(9 * 18);
        });

        it("keeps the spares while only the large model is short of groups", () => {
            const planned = planGroups(caseC, new Map(), nineDomains, true, shortOf("large"));
            expect([countOf(planned, "large"), countOf(planned, "small")]).to.deep.equal([9, 36]);
        });
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

describe("planGroups by demand", () => {
    /** Room for groups of 18 VMs, and for the spare that a domain keeps. */
    const DOMAIN_SIZE = 19;
    const ZONES = ["a", "b", "c"];
    const service = "llm";
    const memberCounts: Record<string, number> = { large: 8, small: 2 };
    const fleetModels = models.map(model => ({ ...model, memberCount: memberCounts[model.name]!, demandShare: 0.5 }));
    /** Requests per second that a group serves in time. */
    const groupRates: Record<string, number> = { large: 10, small: 10 / 0.6 };

    interface Demand {
        offered: Record<string, number>;
        /** Share of the requests that arrive in each zone; equal if absent. */
        zoneShares?: Record<string, number>;
        isComplete?: boolean;
        ageMs?: number;
    }

    interface PlayOptions {
        byDemand: boolean;
        demandAt: (second: number) => Demand;
        /** Seconds at which all groups in the first domains are lost; their VMs are free a second later. */
        lossesAt?: readonly number[];
        lostDomains?: number;
    }

    /** Plays a minute of a fleet with two domains of 18 VMs in each zone, and returns the groups and requests served. */
    async function play({ byDemand, demandAt, lossesAt = [30], lostDomains = 6 }: PlayOptions) {
        const clock = ManualClock.create();
        const domainZones = new Map(domains(0, 0, 0, 0, 0, 0).map(({ domain }, index) => [domain, ZONES[index % 3]!]));
        let groups: Array<{ domain: string; model: string; }> = [];
        const countBy = (model: string, zone?: string) =>
            groups.filter(group => group.model === model && (!zone || domainZones.get(group.domain) === zone)).length;
        /** Demand of the last second, and the number of groups that there were for it. */
        let last = { demand: demandAt(0), counts: groupRates };
        const figures = (model: string, zone?: string) => {
            const { offered, zoneShares, ageMs = 500, isComplete = true } = last.demand;
            const offeredPerSecond = offered[model]! * (zone ? zoneShares?.[zone] ?? 1 / 3 : 1);
            const unserved = zone ? 0 : Math.max(0, offeredPerSecond - last.counts[model]! * groupRates[model]!);
            return {
                offeredPerSecond,
                refusedPerSecond: unserved / 2,
                latePerSecond: unserved / 2,
                ageMs,
                isComplete,
            };
        };
        const planner = DemandPlanner.create({
            clock,
            log: SilentDecisionLog.create(),
            demand: {
                poolDemand: (_, model) => figures(model),
                zoneDemand: (_, model, zone) => figures(model, zone),
            },
        });
        const served: Record<string, number> = { large: 0, small: 0 };
        for (let second = 0; second < 60; second++) {
            const demand = demandAt(second);
            const states = [...domainZones].map(([domain, zone]) => {
                const inDomain = groups.filter(group => group.domain === domain);
                const used = inDomain.reduce((sum, { model }) => sum + memberCounts[model]!, 0);
                const largestGroupCount = inDomain.filter(({ model }) => model === "large").length;
                return { domain, zone, freeCount: DOMAIN_SIZE - used, largestGroupCount };
            });
            const counts = new Map(models.map(({ name }) => [name, countBy(name)]));
            const managed = groups.map(({ domain, model }) => ({
                model: fleetModels.find(({ name }) => name === model)!,
                members: [{ zone: domainZones.get(domain)! }],
            }));
            const planned = planner.update(service, fleetModels, managed, ZONES.map(zone => ({ zone })));
            groups = [...groups, ...planGroups(fleetModels, counts, states, true, byDemand ? planned : undefined)];
            for (const model of ["large", "small"]) {
                served[model]! += Math.min(demand.offered[model]!, countBy(model) * groupRates[model]!);
            }
            last = { demand, counts: { large: countBy("large"), small: countBy("small") } };
            if (lossesAt.includes(second)) {
                groups = groups.filter(({ domain }) => Number(domain.slice(1)) >= lostDomains);
            }
            await clock.advance(1000);
        }
        return {
            groups: { large: countBy("large"), small: countBy("small") },
            zones: ZONES.map(zone => countBy("large", zone) + countBy("small", zone)),
            served,
        };
    }

    const usual: Demand = { offered: { large: 50, small: 60 } };
    const shifted: Demand = { offered: { large: 130, small: 60 } };

    // Guards against VMs that are re-formed into groups of a model for which there is little demand.
    it("forms more groups of the model to which demand has shifted after losses", async () => {
        const demandAt = (second: number) => second < 15 ? usual : shifted;
        const before = await play({ byDemand: false, demandAt });
        const after = await play({ byDemand: true, demandAt });
        expect([before.groups, before.served]).to.deep.equal([{ large: 7, small: 26 }, { large: 3900, small: 3600 }]);
        expect([after.groups, after.served]).to.deep.equal([{ large: 9, small: 18 }, { large: 4480, small: 3600 }]);
    });

    const ignored: ReadonlyArray<[string, (second: number) => Demand]> = [
        ["a burst that is over soon, while groups are lost", second => second >= 28 && second < 31 ? shifted : usual],
        ["figures that lack a gateway", second => ({ ...second < 15 ? usual : shifted, isComplete: false })],
        ["figures that are too old", second => ({ ...second < 15 ? usual : shifted, ageMs: 2100 })],
        ["demand that lacks no groups", () => ({ offered: { large: 10, small: 100 } })],
    ];
    for (const [title, demandAt] of ignored) {
        it(`plans by the configured shares in spite of ${title}`, async () => {
            const { groups } = await play({ byDemand: true, demandAt, lossesAt: [29] });
            expect(groups).to.deep.equal((await play({ byDemand: false, demandAt, lossesAt: [29] })).groups);
        });
    }

    const gaps: ReadonlyArray<[string, { from: number; to: number; }, { large: number; small: number; }]> = [
        ["while it lasts", { from: 30, to: 30 }, { large: 7, small: 26 }],
        ["no longer than it lasts if it is short", { from: 27, to: 29 }, { large: 9, small: 18 }],
        ["until demand has been observed anew if it is long", { from: 25, to: 29 }, { large: 7, small: 26 }],
    ];
    for (const [title, { from, to }, groups] of gaps) {
        it(`plans by the configured shares in a gap of the figures ${title}`, async () => {
            const demandAt = (second: number) => ({
                ...second < 15 ? usual : shifted,
                isComplete: second < from || second > to,
            });
            expect((await play({ byDemand: true, demandAt })).groups).to.deep.equal(groups);
        });
    }

    it("prefers the zone whose demand exceeds its groups most among domains that fit equally well", async () => {
        const demandAt = () => ({ ...usual, zoneShares: { a: 0.2, b: 0.2, c: 0.6 } });
        expect((await play({ byDemand: false, demandAt })).zones).to.deep.equal([12, 12, 9]);
        expect((await play({ byDemand: true, demandAt })).zones).to.deep.equal([12, 9, 12]);
    });

    const bounds: ReadonlyArray<{ title: string; large: number; small: number; unserved: number; shares: number[]; }> =
        [
            {
                title: "no more than twice the share where all requests are refused",
                large: 10,
                small: 10,
                unserved: 1,
                shares: [1, 0.5],
            },
            {
                title: "no less than half the share where hardly any arrive",
                large: 1000,
                small: 1,
                unserved: 0.3,
                shares: [0.75, 0.25],
            },
            {
                title: "the whole share of a model that is served, however many arrive",
                large: 10,
                small: 1000,
                unserved: 0.5,
                shares: [1, 0.5],
            },
            {
                title: "the configured shares below a shortage",
                large: 1000,
                small: 1,
                unserved: 0.24,
                shares: [0.5, 0.5],
            },
        ];
    for (const { title, large, small, unserved, shares } of bounds) {
        it(`plans ${title}`, () => {
            const demand = new Map([
                ["large", { offered: large, refused: large * unserved / 2, late: large * unserved / 2 }],
                ["small", { offered: small, refused: 0, late: 0 }],
            ]);
            expect([...shareOfDemand(fleetModels, demand).values()]).to.deep.equal(shares);
        });
    }
});

describe("a controller that knows the demand", () => {
    for (
        const [title, refused, expected] of [
            ["by the configured shares while all is served", 0, { large: 2, small: 1 }],
            ["for the model that is short of groups", 60, { large: 1, small: 3 }],
        ] as const
    ) {
        // Guards against a planner that is not asked.
        it(`forms groups of VMs that register later ${title}`, async () => {
            const rig = FleetRig.create(1, 9);
            const figures = (_: string, model: string) => ({
                offeredPerSecond: model === "small" ? 100 : 20,
                refusedPerSecond: model === "small" ? refused : 0,
                latePerSecond: 0,
                ageMs: 500,
                isComplete: true,
            });
            const demand = { poolDemand: figures, zoneDemand: figures };
            rig.demandPlanner = DemandPlanner.create({ clock: rig.clock, log: rig.log, demand });
            rig.startController("first");
            await rig.run(40_000);
            expect(rig.countCompleteGroups()).to.deep.equal({ large: 1, small: 1 });
            for (let index = 0; index < 6; index++) {
                rig.fleet.add(exampleUpstream(`d1-${index}`, { domain: "d1" }));
            }
            await rig.run(40_000);
            expect(rig.countCompleteGroups()).to.deep.equal(expected);
            rig.stopController();
        });
    }
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
