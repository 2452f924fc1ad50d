import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { CrashDetector } from "../../src/placement/CrashDetector.js";
import { CrashGuard } from "../../src/placement/CrashGuard.js";
import { suspectCriteria } from "../../src/placement/suspectCriteria.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";
import { SimulatedCrashes } from "../support/SimulatedCrashes.js";

/** Attempts that may reach upstreams later than `stableWindowMs` after the third crash. */
const MAX_LATE_SENDS = 3;
const START_MS = 5000;
const END_MS = 90_000;

interface FleetOptions {
    gateways: number;
    seed: number;
    groups?: number;
}

/** Creates a fleet with sound requests, each of which asks for something else. */
function createFleet({ gateways, seed, groups = 3 }: FleetOptions): SimulatedCrashes {
    const fleet = SimulatedCrashes.create({ gateways, seed, groups, subject: "request" });
    let requests = 0;
    fleet.addTraffic(15, { fromMs: 0, untilMs: END_MS }, () => [`sound-${requests++}`]);
    return fleet;
}

function addCrashing(fleet: SimulatedCrashes, fingerprint: string): void {
    fleet.crashingParts.add(fingerprint);
    fleet.addTraffic(1.2, { fromMs: START_MS, untilMs: END_MS }, () => [fingerprint]);
}

function expectHeldBack(fleet: SimulatedCrashes, fingerprint: string): void {
    expect(fleet.crashTimesMs.get(fingerprint)?.length).to.be.at.least(3);
    expect(fleet.lateSends(fingerprint, 3).length).to.be.at.most(MAX_LATE_SENDS);
}

describe("requests that crash upstreams, in a simulated fleet", () => {
    for (const gateways of [6, 79]) {
        for (const seed of [1, 2, 3]) {
            it(`are held back by ${gateways} gateways at which they come again, seed ${seed}`, () => {
                const fleet = createFleet({ gateways, seed });
                addCrashing(fleet, "bad");
                fleet.run(END_MS);
                expectHeldBack(fleet, "bad");
                expect(fleet.blockedSound(fleet.soundServedFromMs("bad"))).to.deep.equal([]);
            });
        }

        for (const seed of [7, 8, 9, 10, 11, 12, 13, 14]) {
            it(`are held back by ${gateways} gateways though they were served before, seed ${seed}`, () => {
                const fleet = createFleet({ gateways, seed });
                fleet.addTraffic(1.2, { fromMs: 0, untilMs: END_MS }, () => ["bad"]);
                fleet.at(20_000, () => fleet.crashingParts.add("bad"));
                fleet.run(END_MS);
                expectHeldBack(fleet, "bad");
                expect(fleet.blockedSound(fleet.soundServedFromMs("bad"))).to.deep.equal([]);
            });
        }

        it(`are held back by ${gateways} gateways if there are four at once`, () => {
            const fleet = createFleet({ gateways, seed: 4, groups: 6 });
            const crashing = ["bad-0", "bad-1", "bad-2", "bad-3"];
            crashing.forEach(fingerprint => addCrashing(fleet, fingerprint));
            fleet.run(END_MS);
            crashing.forEach(fingerprint => expectHeldBack(fleet, fingerprint));
        });

        it(`are held back by ${gateways} gateways of which some are restarted or cut off`, () => {
            const fleet = createFleet({ gateways, seed: 5 });
            addCrashing(fleet, "bad");
            fleet.every(7000, 20_000, END_MS, () => fleet.restart(Math.floor(fleet.random.next() * gateways)));
            fleet.at(30_000, () => fleet.setCutOff(0, true));
            fleet.at(50_000, () => fleet.setCutOff(0, false));
            fleet.run(END_MS);
            expectHeldBack(fleet, "bad");
        });
    }

    for (let seed = 1; seed <= 20; seed++) {
        it(`are not suspected where upstreams crash for other reasons, seed ${seed}`, () => {
            const fleet = createFleet({ gateways: 6, seed });
            fleet.addTraffic(5, { fromMs: 0, untilMs: END_MS }, () => ["frequent"]);
            fleet.every(3000, START_MS, END_MS, () => fleet.crashRandomHead());
            fleet.every(20_000, START_MS, END_MS, () => fleet.crashHeads(() => true));
            fleet.run(END_MS);
            expect(fleet.endedUpstreams).to.be.at.least(20);
            expect(fleet.blockedSound()).to.deep.equal([]);
        });
    }

    for (const gateways of [6, 79]) {
        for (const seed of [1, 2, 3, 4]) {
            it(`are not suspected by ${gateways} gateways where all upstreams end at once, seed ${seed}`, () => {
                const fleet = createFleet({ gateways, seed });
                fleet.addTraffic(30, { fromMs: 0, untilMs: END_MS }, () => ["frequent"]);
                fleet.every(15_000, START_MS, END_MS, () => fleet.crashHeads(() => true));
                fleet.run(END_MS);
                expect(fleet.endedUpstreams).to.be.at.least(15);
                expect(fleet.blockedSound()).to.deep.equal([]);
            });
        }
    }

    it("are served again within a minute after they have stopped crashing upstreams", () => {
        const fleet = createFleet({ gateways: 6, seed: 6 });
        addCrashing(fleet, "bad");
        fleet.at(20_000, () => fleet.crashingParts.clear());
        fleet.run(END_MS);
        expect(fleet.sentSound("bad", END_MS - 5000).length).to.be.at.least(1);
    });
});

describe("CrashGuard", () => {
    const subjects = (fingerprint: string) => ({ fingerprint, promptParts: ["instructions"] });

    function createGuard() {
        const clock = ManualClock.create();
        const log = SilentDecisionLog.create();
        return { clock, guard: CrashGuard.create({ clock, log, position: () => ({ index: 0, count: 1 }) }) };
    }

    it("blocks a request after three crashes, but not the prompt parts that it shares", () => {
        const { clock, guard } = createGuard();
        for (const upstream of ["u1", "u2", "u3"]) {
            guard.recordCrash(subjects("bad"), upstream, "llm");
        }
        expect(guard.admit(subjects("bad")).kind).to.equal("allowed");
        clock.pause(1000);
        expect(guard.admit(subjects("bad"))).to.include({ kind: "blocked", part: "bad" });
        expect(guard.isBlocked(subjects("bad"))).to.equal(true);
        expect(guard.admit(subjects("other")).kind).to.equal("allowed");
    });

    it("counts a lost kept connection for the request only", () => {
        const { clock, guard } = createGuard();
        for (let crash = 0; crash < 8; crash++) {
            guard.recordCrash(subjects("bad"), `u${crash}`, "llm", true);
            clock.pause(1000);
        }
        expect(guard.isBlocked(subjects("bad"))).to.equal(true);
        expect(guard.report().promptParts).to.deep.equal([]);
    });

    it("does not suspect a request to which a response came in between", () => {
        const { clock, guard } = createGuard();
        for (let crash = 0; crash < 20; crash++) {
            guard.recordCrash(subjects("frequent"), `u${crash}`, "app");
            clock.pause(1000);
            guard.recordBegun(subjects("frequent"), "app");
            expect(guard.isBlocked(subjects("frequent"))).to.equal(false);
        }
    });

    it("keeps a bounded number of suspects", () => {
        const { clock, guard } = createGuard();
        for (let request = 0; request < 2000; request++) {
            guard.recordCrash(subjects(`request-${request}`), `u${request}`, "app");
            clock.pause(10);
        }
        expect(guard.report().requests.length).to.be.at.most(32);
    });

    it("merges what another gateway has found", () => {
        const [first, second] = [createGuard(), createGuard()];
        for (const upstream of ["u1", "u2", "u3"]) {
            first.guard.recordCrash(subjects("bad"), upstream, "app");
        }
        first.clock.pause(1000);
        second.guard.merge(first.guard.report());
        expect(second.guard.isBlocked(subjects("bad"))).to.equal(true);
        const detector = CrashDetector.create({
            clock: second.clock,
            log: SilentDecisionLog.create(),
            position: () => ({ index: 0, count: 1 }),
            criteria: suspectCriteria.request,
        });
        detector.merge({ suspects: second.guard.blocked().requests });
        expect(detector.isBlocked(["bad"])).to.equal(true);
    });
});
