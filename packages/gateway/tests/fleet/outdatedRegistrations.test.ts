import { SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { FleetRig } from "../support/FleetRig.js";

/** Time for forming the groups of all domains. */
const FORMATION_MS = 60_000;
/** Age of registrations when they reach the controller: that of a slow store. */
const REGISTRATION_LAG_MS = 1200;
const LOSS_INTERVAL_MS = 3000;

async function createFormedRig(domains: number, size: number): Promise<FleetRig> {
    const rig = FleetRig.create(domains, size);
    rig.startController("first");
    await rig.run(FORMATION_MS);
    return rig;
}

/** Returns the epochs of the groups for which the controller has logged an event since `sinceLine`. */
function epochsOf(rig: FleetRig, event: string, sinceLine: number): unknown[] {
    return rig.log.lines.slice(sinceLine).filter(line => line.event === event).map(({ fields }) => fields["epoch"]);
}

describe("FleetController with registrations that lag by 1.2 s", () => {
    it("adopts no group that it has dissolved, whose members have answered that they left", async () => {
        const rig = await createFormedRig(1, 9);
        rig.registrationLagMs = REGISTRATION_LAG_MS;
        const sinceLine = rig.log.lines.length;
        const large = rig.fleet.openHeads().find(head => head.model === "large")!;
        rig.fleet.crash(large.id);
        await rig.run(8000);
        expect(epochsOf(rig, "group dissolved", sinceLine)).to.have.length(1);
        expect(epochsOf(rig, "group adopted", sinceLine)).to.deep.equal([]);
        expect(rig.fleet.violations).to.deep.equal([]);
        rig.stopController();
    });

    it("uses the members of a dissolved group for another one at once", async () => {
        const rig = await createFormedRig(1, 9);
        rig.registrationLagMs = REGISTRATION_LAG_MS;
        const large = rig.fleet.openHeads().find(head => head.model === "large")!;
        rig.fleet.crash(large.id);
        await rig.run(30_000);
        expect(rig.countCompleteGroups()).to.deep.equal({ small: 2 });
        expect(rig.fleet.violations).to.deep.equal([]);
        rig.stopController();
    });

    // Members waited 1.5 s for others to restart, and then until no upstream had come or left for a while.
    for (const [title, rank, limitMs] of [["member", 2, 600], ["head", 0, 5200]] as const) {
        it(`starts a smaller group ${limitMs} ms after a ${title} has crashed that cannot be replaced`, async () => {
            const rig = await createFormedRig(1, 9);
            rig.registrationLagMs = REGISTRATION_LAG_MS;
            const sinceLine = rig.log.lines.length;
            const lost = [...rig.directory.all()].find(({ model, group }) =>
                model === "large" && group?.rank === rank
            )!;
            rig.fleet.crash(lost.id);
            await rig.run(limitMs);
            expect(epochsOf(rig, "group formation started", sinceLine)).to.have.length(1);
            const outcomes = rig.log.lines.slice(sinceLine).map(({ fields }) => fields["outcome"]);
            expect(outcomes).not.to.include("conflict");
            await rig.run(15_000);
            expect(rig.countCompleteGroups()).to.deep.equal({ small: 2 });
            expect(rig.fleet.violations).to.deep.equal([]);
            rig.stopController();
        });
    }

    // The whole group was formed again with the same member, after growing delays.
    it("replaces only the member that refuses to join, at once", async () => {
        const rig = await createFormedRig(1, 5);
        rig.registrationLagMs = REGISTRATION_LAG_MS;
        const members = [...rig.directory.all()].filter(({ model, group }) =>
            model === "small" && group?.name.includes("small")
        );
        const [lost, refusing] = members.filter(({ group }) => group?.rank !== 0);
        rig.fleet.refusingIds.add(refusing!.id);
        rig.fleet.crash(lost!.id);
        await rig.run(4000);
        const head = rig.fleet.openHeads().find(({ model }) => model === "small");
        expect(head && rig.fleet.isComplete(head)).to.equal(true);
        expect(rig.fleet.state(refusing!.id).group?.epoch).not.to.equal(head?.group?.epoch);
        expect(rig.fleet.violations).to.deep.equal([]);
        rig.stopController();
    });

    it("uses the other members of a group for a smaller one if a member refuses to join and none replaces it", async () => {
        const rig = await createFormedRig(1, 10);
        rig.registrationLagMs = REGISTRATION_LAG_MS;
        const [lost, refusing] = [...rig.directory.all()].filter(({ model, group }) =>
            model === "large" && group?.name.includes("large") && group.rank > 1
        );
        rig.fleet.refusingIds.add(refusing!.id);
        rig.fleet.crash(lost!.id);
        await rig.run(25_000);
        expect(rig.countCompleteGroups()).to.deep.equal({ small: 2 });
        expect(rig.fleet.violations).to.deep.equal([]);
        rig.stopController();
    });

    it("keeps most groups open while a member is lost every three seconds for a minute", async () => {
        const rig = await createFormedRig(3, 14);
        rig.registrationLagMs = REGISTRATION_LAG_MS;
        const sinceLine = rig.log.lines.length;
        const openCounts: number[] = [];
        for (let passedMs = 0; passedMs < 60_000; passedMs += LOSS_INTERVAL_MS) {
            const heads = rig.fleet.openHeads();
            const lost = heads[(passedMs / LOSS_INTERVAL_MS) % Math.max(1, heads.length)];
            if (lost) {
                rig.fleet.crash(lost.id);
                void rig.clock.sleep(5000).then(() => rig.fleet.restart(lost.id));
            }
            await rig.run(LOSS_INTERVAL_MS);
            const counts = rig.countCompleteGroups();
            openCounts.push((counts["large"] ?? 0) + (counts["small"] ?? 0));
        }
        const mean = openCounts.reduce((sum, count) => sum + count, 0) / openCounts.length;
        const adoptedAgain = epochsOf(rig, "group adopted", sinceLine).length;
        console.log(`open groups ${openCounts.join(" ")}, mean ${mean}, adopted ${adoptedAgain}`);
        expect(rig.fleet.violations).to.deep.equal([]);
        expect(adoptedAgain).to.equal(0);
        rig.stopController();
    });

    // Guards against an upstream that is taken for a spare because of an order that it has not carried out, or not alone.
    for (const seed of [1, 2, 3, 4, 5, 6]) {
        it(`has no upstream in two groups beside late orders, restarts and handovers (seed ${seed})`, async () => {
            const random = SeededRandom.create(seed);
            const rig = await createFormedRig(2, 11);
            rig.registrationLagMs = REGISTRATION_LAG_MS;
            rig.fleet.reportLagMs = 200;
            rig.fleet.isLate = () => random.next() < 1 / 3;
            for (let round = 0; round < 12; round++) {
                const ids = [...rig.directory.all()].map(({ id }) => id);
                const id = ids[Math.floor(random.next() * ids.length)]!;
                const actions = [
                    () => rig.fleet.crash(id),
                    () => rig.fleet.makeUnresponsive(id),
                    () => rig.fleet.restart(id),
                    () => rig.startController(`round-${round}`),
                ];
                actions[Math.floor(random.next() * actions.length)]!();
                void rig.clock.sleep(5000).then(() => round % 2 === 0 && rig.fleet.restart(id));
                await rig.run(500 + random.next() * 2500);
            }
            rig.fleet.isLate = () => false;
            await rig.run(45_000);
            expect(rig.fleet.violations).to.deep.equal([]);
            const open = rig.fleet.openHeads().filter(({ id }) => rig.directory.get(id));
            expect(open.filter(head => !rig.fleet.isComplete(head)).map(({ group }) => group?.name)).to.deep.equal([]);
            expect(open.length).to.be.at.least(3);
            rig.stopController();
        });
    }
});
