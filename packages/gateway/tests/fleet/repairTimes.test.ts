import { SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import type { Upstream } from "../../src/model/Upstream.js";
import { FleetRig } from "../support/FleetRig.js";

/** Time for forming the groups of all domains and preparing their spares. */
const FORMATION_MS = 420_000;
const DOMAINS = 12;
/** One large group, two small ones and two spares in each domain. */
const DOMAIN_SIZE = 14;
const LOSS_INTERVAL_MS = 3000;
const LOSSES_PER_INTERVAL = 2;
const PLAY_MS = 60_000;
/** Time until the last groups are repaired. */
const AFTERMATH_MS = 10_000;
/** A lost VM is back after this time, with the weights on its host. */
const RESTART_AFTER_MS = 5000;
/** Age of registrations when they reach the controller, while a call of the store takes 200 ms. */
const REGISTRATION_LAG_MS = 1250;
const REPORT_LAG_MS = 200;
const LATE_ORDER_SHARE = 1 / 3;
const STEP_MS = 100;

interface Loss {
    upstream: string;
    isSilent: boolean;
    domain: string;
    model: string;
    /** Epochs of the groups that were open when it was lost. */
    openEpochs: ReadonlySet<number>;
    lostAtMs: number;
    openAtMs: number;
}

/** Plays a minute of losses. Returns each with the time until its group's model has another open group in the domain. */
async function playLosses(rig: FleetRig, seed: number): Promise<Loss[]> {
    const random = SeededRandom.create(seed);
    rig.registrationLagMs = REGISTRATION_LAG_MS;
    rig.fleet.reportLagMs = REPORT_LAG_MS;
    rig.fleet.isLate = () => random.next() < LATE_ORDER_SHARE;
    const losses: Loss[] = [];
    for (let passedMs = 0; passedMs < PLAY_MS + AFTERMATH_MS; passedMs += STEP_MS) {
        if (passedMs < PLAY_MS && passedMs % LOSS_INTERVAL_MS === 0) {
            for (let index = 0; index < LOSSES_PER_INTERVAL; index++) {
                losses.push(loseMember(rig, losses, random));
            }
        }
        await rig.run(STEP_MS);
        for (const head of rig.fleet.openHeads().filter(item => rig.fleet.isComplete(item))) {
            losses.filter(loss => isRepairedBy(loss, head)).forEach(loss => {
                loss.openAtMs = rig.clock.monotonicMs();
            });
        }
    }
    return losses;
}

/**
 * Ends a member of an open group whose domain has a spare with the weights, in another domain than the last losses: two of
 * three by a crash, the others without any sign.
 */
function loseMember(rig: FleetRig, losses: readonly Loss[], random: SeededRandom): Loss {
    const states = [...rig.directory.all()].map(({ id }) => rig.fleet.state(id));
    const recentDomains = losses.slice(-DOMAINS / 2).map(({ domain }) => domain);
    const isSpareFor = (spare: Upstream, { domain, model }: Upstream) =>
        spare.domain === domain && spare.stagedModels.includes(model ?? "")
        && (spare.group?.name.startsWith("standby.") ?? true);
    const heads = rig.fleet.openHeads().filter(head =>
        rig.fleet.isComplete(head) && !recentDomains.includes(head.domain)
        && states.some(item => isSpareFor(item, head))
    );
    const head = heads[Math.floor(random.next() * heads.length)]!;
    const members = states.filter(({ group }) => group?.epoch === head.group?.epoch);
    const member = members[Math.floor(random.next() * members.length)]!;
    const isSilent = losses.length % 3 === 2;
    if (isSilent) {
        rig.fleet.makeUnresponsive(member.id);
    }
    else {
        rig.fleet.crash(member.id);
    }
    void rig.clock.sleep(RESTART_AFTER_MS).then(() => rig.fleet.restart(member.id));
    return {
        upstream: member.id,
        isSilent,
        domain: head.domain,
        model: head.model ?? "",
        openEpochs: new Set(rig.fleet.openHeads().map(({ group }) => group?.epoch ?? 0)),
        lostAtMs: rig.clock.monotonicMs(),
        openAtMs: Infinity,
    };
}

function isRepairedBy({ openAtMs, domain, model, openEpochs }: Loss, head: Upstream): boolean {
    return openAtMs === Infinity && head.domain === domain && head.model === model
        && !openEpochs.has(head.group?.epoch ?? 0);
}

describe("FleetController during a loss of two upstreams every three seconds", () => {
    for (const seed of [1, 2, 3]) {
        it(`has another open group of the model after 2 s at the median and 4 s at worst (seed ${seed})`, async () => {
            const rig = FleetRig.create(DOMAINS, DOMAIN_SIZE);
            rig.startController("first");
            await rig.run(FORMATION_MS);
            const losses = await playLosses(rig, seed);
            const repairMs = losses.map(({ lostAtMs, openAtMs }) => openAtMs - lostAtMs).sort((one, other) =>
                one - other
            );
            const steps = [...rig.durationsMs].map(([name, durations]) => `${name} ${Math.round(meanOf(durations))}`);
            console.log(`repairs took ${repairMs.join(" ")} ms; mean steps: ${steps.join(", ")}`);
            expect(rig.fleet.violations).to.deep.equal([]);
            expect(repairMs[Math.floor(repairMs.length / 2)]).to.be.at.most(2000);
            expect(repairMs.at(-1)).to.be.at.most(4000);
            rig.stopController();
        });
    }

    it("logs each step of a repair, which add up to its duration, and records it in a histogram", async () => {
        const rig = FleetRig.create(1, 11);
        rig.startController("first");
        await rig.run(60_000);
        const head = rig.fleet.openHeads().find(({ model }) => model === "large")!;
        rig.fleet.makeUnresponsive(head.id);
        await rig.run(6000);
        const { fields } = rig.log.lines.filter(({ event }) => event === "group open").at(-1)!;
        const { givingUpMs, choosingMs = 0, joiningMs, openingMs } = fields as Record<string, number>;
        expect(fields["detectionMs"]).to.be.within(220, 700);
        expect(fields["repairMs"]).to.equal(givingUpMs! + choosingMs + joiningMs! + openingMs!);
        expect([...rig.durationsMs.keys()]).to.have.members(
            ["repair", "repairDetection", "repairGivingUp", "repairJoining", "repairOpening"],
        );
        rig.stopController();
    });
});

function meanOf(durations: readonly number[]): number {
    return durations.reduce((sum, duration) => sum + duration, 0) / durations.length;
}
