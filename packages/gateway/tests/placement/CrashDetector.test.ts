import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import fc from "fast-check";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { CrashDetector } from "../../src/placement/CrashDetector.js";
import { suspectCriteria } from "../../src/placement/suspectCriteria.js";
import { exampleParts } from "../support/exampleParts.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";
import { SimulatedCrashes } from "../support/SimulatedCrashes.js";

type CrashEvidence = ReturnType<CrashDetector["state"]>;

/** Requests or retries with a crashing part that may reach upstreams later than `stableWindowMs` after the fifth crash. */
const MAX_LATE_SENDS = 3;
/** Time until a gateway has its peers' states, over two hubs. */
const EXCHANGE_MS = 500;
/** Time after which requests are served again whose part does not crash upstreams any more. */
const RECOVERY_MS = 60_000;
/** Largest state that a gateway sends to its peers, of whatever evidence. */
const MAX_STATE_BYTES = 16_384;
/** Largest state without crashes: ten updates a second stay within the 5 KB a second that control may use. */
const MAX_IDLE_STATE_BYTES = 500;
const MAX_TABLE_BYTES = 8 * 1024 * 1024;
const BAD = "bad";
const START_MS = 10_000;

interface SoundTraffic {
    perSecond: number;
    untilMs: number;
}

/** Adds requests that crash nothing, from the beginning on. */
function addSound(fleet: SimulatedCrashes, { perSecond, untilMs }: SoundTraffic): void {
    fleet.addTraffic(perSecond, { fromMs: 0, untilMs }, () => exampleParts(fleet.random, fleet.nowMs));
}

/** Returns the parts of a request that has crashing parts at random places among those that others have too. */
function badParts(fleet: SimulatedCrashes, ...crashing: readonly string[]): string[] {
    const parts = exampleParts(fleet.random, fleet.nowMs);
    for (const part of crashing) {
        parts.splice(Math.floor(fleet.random.next() * (parts.length + 1)), 0, part);
    }
    return parts;
}

/** Returns the number of requests with the part that callers sent since a time. */
function countAsked(fleet: SimulatedCrashes, part: string, sinceMs: number): number {
    return fleet.decisions.filter(({ atMs, parts }) => atMs > sinceMs && parts.includes(part)).length;
}

/** Expects that a crashing part was found in time, and that enough requests with it came to show that. */
function expectFound(fleet: SimulatedCrashes, part: string): void {
    expect(countAsked(fleet, part, 0), `requests with ${part}`).to.be.at.least(13);
    expect(fleet.lateSends(part).length, `late requests with ${part}`).to.be.at.most(MAX_LATE_SENDS);
}

/** Expects that no sound request is blocked once the crashing parts have to be known. */
function expectSoundServed(fleet: SimulatedCrashes, ...crashing: readonly string[]): void {
    const sinceMs = Math.max(...crashing.map(part => fleet.soundServedFromMs(part)));
    expect(fleet.sentSound("instructions-0").length).to.be.at.least(20);
    expect(fleet.blockedSound(sinceMs)).to.deep.equal([]);
}

describe("CrashDetector", () => {
    const detectorOptions = () => ({
        clock: ManualClock.create(),
        log: SilentDecisionLog.create(),
        position: () => ({ index: 0, count: 1 }),
        criteria: suspectCriteria.promptPart,
    });

    describe("with one gateway", () => {
        it("allows prompts of which nothing is known, and those without shared parts", () => {
            const detector = CrashDetector.create(detectorOptions());
            expect(detector.admit(["a", "b"])).to.deep.equal({ kind: "allowed" });
            expect(detector.admit([])).to.deep.equal({ kind: "allowed" });
            detector.recordCrash([], "u1");
            expect(detector.admit([])).to.deep.equal({ kind: "allowed" });
        });

        it("blocks a part under which five upstreams crashed, and says when to come back", () => {
            const options = detectorOptions();
            const detector = CrashDetector.create(options);
            detector.recordBegun(["first", "other"]);
            for (let crash = 0; crash < 5; crash++) {
                detector.recordCrash(["first", BAD, `own-${crash}`], `u${crash}`);
                options.clock.pause(1000);
            }
            const admission = detector.admit(["first", "other", BAD]);
            expect(admission).to.include({ kind: "blocked", part: BAD });
            expect(admission).to.have.property("retryAfterMs").that.is.above(0).and.below(Infinity);
            expect(detector.mayRetry(["first", BAD])).to.equal(false);
            expect(detector.admit(["first", "other"])).to.deep.equal({ kind: "allowed" });
            expect(detector.mayRetry(["first", "other"])).to.equal(true);
        });

        it("counts one start of an upstream once, however many requests were cut there", () => {
            const options = detectorOptions();
            const detector = CrashDetector.create(options);
            for (let request = 0; request < 40; request++) {
                detector.recordCrash(["first", "shared"], `u${request % 2}`);
                options.clock.pause(50);
            }
            expect(detector.admit(["first", "shared"])).to.deep.equal({ kind: "allowed" });
        });

        it("does not block a part that began in between", () => {
            const options = detectorOptions();
            const detector = CrashDetector.create(options);
            for (let crash = 0; crash < 20; crash++) {
                detector.recordCrash(["first", "rare"], `u${crash}`);
                options.clock.pause(300);
                detector.recordBegun(["first", "rare"]);
                options.clock.pause(300);
                expect(detector.admit(["first", "rare"])).to.deep.equal({ kind: "allowed" });
            }
        });

        it("admits a blocked part again once a response to it has begun", () => {
            const options = detectorOptions();
            const detector = CrashDetector.create(options);
            for (let crash = 0; crash < 8; crash++) {
                detector.recordCrash([BAD], `u${crash}`);
                options.clock.pause(1000);
            }
            expect(detector.admit([BAD])).to.include({ kind: "blocked" });
            detector.recordBegun([BAD]);
            expect(detector.admit([BAD])).to.deep.equal({ kind: "allowed" });
        });
    });

    for (const gateways of [6, 76, 79]) {
        describe(`with ${gateways} gateways`, () => {
            const perSecond = gateways === 6 ? 60 : 240;

            for (const seed of gateways === 6 ? [1, 2, 3] : [gateways]) {
                it(`sends a part that crashes upstreams at a high rate no further, seed ${seed}`, () => {
                    const fleet = SimulatedCrashes.create({ gateways, seed });
                    fleet.crashingParts.add(BAD);
                    addSound(fleet, { perSecond, untilMs: 30_000 });
                    fleet.addTraffic(2, { fromMs: START_MS, untilMs: 30_000 }, () => badParts(fleet, BAD));
                    fleet.run(30_000);
                    expectFound(fleet, BAD);
                    expectSoundServed(fleet, BAD);
                });

                it(`sends a part that crashes an upstream every four seconds no further, seed ${seed}`, () => {
                    const fleet = SimulatedCrashes.create({ gateways, seed, callersRepeat: false });
                    fleet.crashingParts.add(BAD);
                    addSound(fleet, { perSecond: perSecond / 2, untilMs: 70_000 });
                    fleet.every(4000, START_MS, 70_000, () => fleet.send(badParts(fleet, BAD)));
                    fleet.run(70_000);
                    expectFound(fleet, BAD);
                    expectSoundServed(fleet, BAD);
                });
            }

            it("sends a part no further that crashed five upstreams at once and returns after 20 seconds", () => {
                const fleet = SimulatedCrashes.create({ gateways, seed: 4, groups: 18, callersRepeat: false });
                fleet.crashingParts.add(BAD);
                addSound(fleet, { perSecond, untilMs: 42_000 });
                fleet.every(40, START_MS, START_MS + 1000, () => {
                    if (fleet.fifthCrashMs(BAD) === Infinity) {
                        fleet.send(badParts(fleet, BAD));
                    }
                });
                fleet.addTraffic(2, { fromMs: START_MS + 21_000, untilMs: 42_000 }, () => badParts(fleet, BAD));
                fleet.run(42_000);
                const [firstMs, ...laterMs] = fleet.crashTimesMs.get(BAD) ?? [];
                expect(laterMs[3]! - firstMs!).to.be.at.most(500);
                expectFound(fleet, BAD);
                expectSoundServed(fleet, BAD);
            });

            it("finds three crashing parts at once", () => {
                const fleet = SimulatedCrashes.create({ gateways, seed: 5, groups: 18 });
                const crashing = ["bad-0", "bad-1", "bad-2"];
                addSound(fleet, { perSecond, untilMs: 40_000 });
                for (const part of crashing) {
                    fleet.crashingParts.add(part);
                    fleet.addTraffic(1, { fromMs: START_MS, untilMs: 40_000 }, () => badParts(fleet, part));
                }
                fleet.run(40_000);
                crashing.forEach(part => expectFound(fleet, part));
                expectSoundServed(fleet, ...crashing);
            });
        });
    }

    it("finds two crashing parts that come in one prompt and apart", () => {
        const fleet = SimulatedCrashes.create({ gateways: 6, seed: 6 });
        const crashing = ["bad-0", "bad-1"];
        crashing.forEach(part => fleet.crashingParts.add(part));
        addSound(fleet, { perSecond: 60, untilMs: 60_000 });
        const together = { fromMs: START_MS, untilMs: 25_000 };
        fleet.addTraffic(1, together, () => badParts(fleet, "bad-0", "bad-1"));
        for (const part of crashing) {
            fleet.addTraffic(1, { fromMs: 25_000, untilMs: 60_000 }, () => badParts(fleet, part));
        }
        fleet.run(60_000);
        crashing.forEach(part => expectFound(fleet, part));
        expectSoundServed(fleet, ...crashing);
    });

    it("finds a crashing part among parts that only one request has", () => {
        const fleet = SimulatedCrashes.create({ gateways: 6, seed: 7 });
        fleet.crashingParts.add(BAD);
        addSound(fleet, { perSecond: 60, untilMs: 30_000 });
        let ownParts = 0;
        fleet.addTraffic(2, { fromMs: START_MS, untilMs: 30_000 }, () => [
            ...badParts(fleet, BAD),
            ...Array.from({ length: 50 }, () => `own-${ownParts++}`),
        ]);
        fleet.run(30_000);
        expectFound(fleet, BAD);
        expectSoundServed(fleet, BAD);
    });

    it("serves requests whose other parts had come only with the crashing part", () => {
        const fleet = SimulatedCrashes.create({ gateways: 6, seed: 8 });
        fleet.crashingParts.add(BAD);
        fleet.addTraffic(2, { fromMs: 0, untilMs: 40_000 }, () => ["new-application", BAD]);
        fleet.run(20_000);
        const sinceMs = fleet.nowMs;
        fleet.addTraffic(5, { fromMs: sinceMs, untilMs: 40_000 }, () => ["new-application"]);
        fleet.run(40_000);
        const sound = fleet.sentSound("new-application", sinceMs).length;
        expect(sound).to.be.above(fleet.blockedSound(sinceMs).length);
        expectFound(fleet, BAD);
    });

    describe("when upstreams end for other reasons", () => {
        /** Lets upstreams crash at random, in a zone and one after the other, and resets all connections. */
        function addFaults(fleet: SimulatedCrashes): void {
            fleet.every(2000, 1000, 50_000, () => fleet.random.next() < 0.7 && fleet.crashRandomHead());
            for (const atMs of [15_000, 23_000, 24_000, 25_000]) {
                for (let request = 0; request < 8; request++) {
                    fleet.at(atMs - 60, () => fleet.send(["instructions-1", `fan-out-${atMs}`]));
                }
            }
            fleet.at(15_000, () => fleet.crashZone(1));
            [23_000, 24_000, 25_000].forEach(atMs => fleet.at(atMs, () => fleet.resetConnections()));
            for (let index = 0; index < 6; index++) {
                fleet.at(32_000 + index * 1700, () => fleet.crashHeads(head => head % 6 === index));
            }
        }

        for (const firstSeed of [1, 11, 21, 31, 41]) {
            const seeds = Array.from({ length: 10 }, (_, index) => firstSeed + index);

            it(`blocks nothing, seeds ${firstSeed} to ${firstSeed + 9}`, () => {
                for (const seed of seeds) {
                    const fleet = SimulatedCrashes.create({ gateways: 6, seed, exchangeIntervalMs: 200 });
                    addSound(fleet, { perSecond: 60, untilMs: 50_000 });
                    addFaults(fleet);
                    fleet.run(50_000);
                    expect(fleet.endedUpstreams).to.be.at.least(15);
                    expect(fleet.blockedSound(), `seed ${seed}`).to.deep.equal([]);
                }
            });

            it(`blocks nothing but the part that crashes upstreams, seeds ${firstSeed} to ${firstSeed + 9}`, () => {
                for (const seed of seeds) {
                    const fleet = SimulatedCrashes.create({ gateways: 6, seed, exchangeIntervalMs: 200 });
                    fleet.crashingParts.add(BAD);
                    addSound(fleet, { perSecond: 60, untilMs: 50_000 });
                    addFaults(fleet);
                    fleet.addTraffic(1, { fromMs: 13_000, untilMs: 50_000 }, () => badParts(fleet, BAD));
                    fleet.run(50_000);
                    expect(fleet.blockedSound(), `seed ${seed}`).to.deep.equal([]);
                    expectFound(fleet, BAD);
                }
            });
        }

        it("blocks nothing but the part that crashes upstreams at the same time, with 79 gateways", () => {
            const fleet = SimulatedCrashes.create({ gateways: 79, seed: 18 });
            fleet.crashingParts.add(BAD);
            addSound(fleet, { perSecond: 240, untilMs: 50_000 });
            addFaults(fleet);
            fleet.addTraffic(2, { fromMs: 13_000, untilMs: 50_000 }, () => badParts(fleet, BAD));
            fleet.run(50_000);
            expect(fleet.blockedSound()).to.deep.equal([]);
            expectFound(fleet, BAD);
        });

        it("blocks nothing when the connections of 79 gateways are reset under requests with a new part", () => {
            const fleet = SimulatedCrashes.create({ gateways: 79, seed: 9 });
            addSound(fleet, { perSecond: 240, untilMs: 20_000 });
            for (const atMs of [8000, 11_000, 14_000]) {
                for (let request = 0; request < 30; request++) {
                    fleet.at(atMs - 60, () => fleet.send(["instructions-1", `fan-out-${atMs}`]));
                }
                fleet.at(atMs, () => fleet.resetConnections());
            }
            fleet.run(20_000);
            expect(fleet.blockedSound()).to.deep.equal([]);
        });
    });

    describe("when a gateway lacks evidence", () => {
        /** Returns a fleet that has blocked the part; requests with it go on until `untilMs`. */
        function createFleet(seed: number, untilMs: number, gateways = 6): SimulatedCrashes {
            const fleet = SimulatedCrashes.create({ gateways, seed });
            fleet.crashingParts.add(BAD);
            addSound(fleet, { perSecond: 60, untilMs });
            fleet.addTraffic(4, { fromMs: START_MS, untilMs }, () => badParts(fleet, BAD));
            return fleet;
        }

        it("blocks a part soon after a restart, from what its peers know", () => {
            const fleet = createFleet(10, 45_000);
            fleet.run(25_000);
            for (let index = 0; index < 6; index++) {
                fleet.run(25_000 + index * 3000);
                const restartedAtMs = fleet.nowMs;
                fleet.restart(index);
                fleet.at(restartedAtMs + EXCHANGE_MS, () => {
                    for (let request = 0; request < 5; request++) {
                        fleet.send(badParts(fleet, BAD), index);
                    }
                });
                fleet.run(restartedAtMs + 2000);
                const sent = fleet.decisions.filter(({ atMs, gateway, parts, blockedPart }) =>
                    atMs >= restartedAtMs + EXCHANGE_MS
                    && gateway === index
                    && parts.includes(BAD)
                    && blockedPart === undefined
                );
                expect(sent).to.deep.equal([]);
            }
            fleet.run(45_000);
            expectFound(fleet, BAD);
            expectSoundServed(fleet, BAD);
        });

        it("blocks a part soon after a partition, and counts what was seen in it", () => {
            const fleet = SimulatedCrashes.create({ gateways: 6, seed: 11, callersRepeat: false });
            fleet.crashingParts.add(BAD);
            addSound(fleet, { perSecond: 60, untilMs: 40_000 });
            fleet.at(START_MS, () => fleet.setCutOff(5, true));
            fleet.at(START_MS + 10_000, () => fleet.setCutOff(5, false));
            fleet.every(1000, START_MS + 500, START_MS + 10_000, () => fleet.send(badParts(fleet, BAD), 5));
            fleet.run(START_MS + 10_000 + EXCHANGE_MS);
            const joinedAtMs = fleet.nowMs;
            fleet.addTraffic(4, { fromMs: joinedAtMs, untilMs: 40_000 }, () => badParts(fleet, BAD));
            fleet.run(40_000);
            const sent = fleet.decisions.filter(({ atMs, parts, blockedPart }) =>
                atMs > joinedAtMs && parts.includes(BAD) && blockedPart === undefined
            );
            expect(countAsked(fleet, BAD, joinedAtMs)).to.be.at.least(8);
            expect(sent.length).to.be.at.most(MAX_LATE_SENDS);
            expectSoundServed(fleet, BAD);
        });

        it("blocks a part soon after a partition in which the other gateways found it", () => {
            const fleet = createFleet(17, 40_000);
            fleet.at(START_MS - 1000, () => fleet.setCutOff(2, true));
            fleet.run(20_000);
            fleet.setCutOff(2, false);
            fleet.run(20_000 + EXCHANGE_MS);
            const joinedAtMs = fleet.nowMs;
            for (let request = 0; request < 5; request++) {
                fleet.send(badParts(fleet, BAD), 2);
            }
            fleet.run(40_000);
            const sent = fleet.decisions.filter(({ atMs, parts, blockedPart }) =>
                atMs >= joinedAtMs && parts.includes(BAD) && blockedPart === undefined
            );
            expect(countAsked(fleet, BAD, joinedAtMs - 1)).to.be.at.least(8);
            expect(sent.length).to.be.at.most(MAX_LATE_SENDS);
            const blocked = fleet.blockedSound(fleet.soundServedFromMs(BAD)).filter(({ isInTouch }) => isInTouch);
            expect(blocked).to.deep.equal([]);
        });

        it("keeps a part blocked when all gateways restart and one of them reads a stored state", () => {
            const fleet = createFleet(12, 60_000);
            fleet.run(25_000);
            const stored = fleet.stateOf(3);
            fleet.run(30_000);
            for (let index = 0; index < 6; index++) {
                fleet.restart(index);
            }
            fleet.deliver(0, stored);
            fleet.run(30_000 + EXCHANGE_MS);
            const sinceMs = fleet.nowMs;
            fleet.run(60_000);
            const sent = fleet.decisions.filter(({ atMs, parts, blockedPart }) =>
                atMs > sinceMs && parts.includes(BAD) && blockedPart === undefined
            );
            expect(countAsked(fleet, BAD, sinceMs)).to.be.at.least(8);
            expect(sent.length).to.be.at.most(MAX_LATE_SENDS);
            expectSoundServed(fleet, BAD);
        });

        it("does not send a blocked part from every gateway when no gateway reaches another", () => {
            const fleet = createFleet(13, 150_000, 12);
            fleet.run(30_000);
            for (let index = 0; index < 12; index++) {
                fleet.setCutOff(index, true);
            }
            fleet.run(150_000);
            const sent = fleet.decisions.filter(({ atMs, parts, blockedPart }) =>
                atMs > 30_000 && parts.includes(BAD) && blockedPart === undefined
            );
            expect(countAsked(fleet, BAD, 30_000)).to.be.at.least(100);
            expect(sent.length).to.be.at.most(MAX_LATE_SENDS);
        });
    });

    describe("over time", () => {
        it("serves requests again whose part does not crash upstreams any more", () => {
            const fleet = SimulatedCrashes.create({ gateways: 6, seed: 14, exchangeIntervalMs: 200 });
            fleet.crashingParts.add(BAD);
            const untilMs = 30_000 + RECOVERY_MS + 10_000;
            addSound(fleet, { perSecond: 20, untilMs });
            fleet.addTraffic(3, { fromMs: START_MS, untilMs }, () => badParts(fleet, BAD));
            fleet.run(30_000);
            expectFound(fleet, BAD);
            fleet.crashingParts.clear();
            fleet.run(untilMs);
            expect(fleet.blockedSound(30_000 + RECOVERY_MS)).to.deep.equal([]);
            expect(fleet.sentSound(BAD, 30_000 + RECOVERY_MS).length).to.be.at.least(10);
        });

        it("does not send a part that goes on crashing upstreams more than three times in an hour", () => {
            const fleet = SimulatedCrashes.create({ gateways: 6, seed: 15, exchangeIntervalMs: 1000 });
            fleet.crashingParts.add(BAD);
            const untilMs = 3_600_000;
            addSound(fleet, { perSecond: 2, untilMs });
            fleet.addTraffic(0.5, { fromMs: START_MS, untilMs }, () => badParts(fleet, BAD));
            fleet.run(untilMs);
            expectFound(fleet, BAD);
            expectSoundServed(fleet, BAD);
        });
    });

    describe("its tables", () => {
        const quietOptions = () => ({
            clock: ManualClock.create(),
            log: { info: () => undefined, warn: () => undefined },
            position: () => ({ index: 0, count: 6 }),
            criteria: suspectCriteria.promptPart,
        });

        /** Returns the bytes in use after a garbage collection. */
        function usedBytes(): number {
            setFlagsFromString("--expose-gc");
            (runInNewContext("gc") as () => void)();
            return process.memoryUsage().heapUsed;
        }

        const sizeOf = (state: CrashEvidence) => Buffer.byteLength(JSON.stringify(state));

        it("do not grow with a million requests that have parts of their own", () => {
            const options = quietOptions();
            const detector = CrashDetector.create(options);
            const beforeBytes = usedBytes();
            let blocked = 0;
            for (let request = 0; request < 1_000_000; request++) {
                const parts = ["instructions", `own-${request}`];
                blocked += detector.admit(parts).kind === "blocked" ? 1 : 0;
                detector.recordBegun(parts);
                if (request % 100 === 0) {
                    options.clock.pause(10);
                }
            }
            expect(blocked).to.equal(0);
            expect(usedBytes() - beforeBytes).to.be.below(MAX_TABLE_BYTES);
            expect(sizeOf(detector.state())).to.be.at.most(MAX_IDLE_STATE_BYTES);
        });

        it("stay small when each crash comes with parts of its own, and a crashing part is found among them", () => {
            const options = quietOptions();
            const detector = CrashDetector.create(options);
            const peer = CrashDetector.create(options);
            const beforeBytes = usedBytes();
            let blockedSince: number | undefined;
            let largestBytes = 0;
            for (let crash = 0; crash < 3000; crash++) {
                const own = Array.from({ length: 50 }, (_, part) => `${crash}-${part}-${"x".repeat(200)}`);
                detector.recordCrash([...own.slice(0, 25), BAD, ...own.slice(25)], `u${crash}`);
                options.clock.pause(500);
                const state = detector.state();
                largestBytes = Math.max(largestBytes, sizeOf(state));
                peer.merge(JSON.parse(JSON.stringify(state)) as CrashEvidence);
                if (detector.admit([BAD]).kind === "blocked") {
                    blockedSince ??= crash;
                }
            }
            expect(usedBytes() - beforeBytes).to.be.below(MAX_TABLE_BYTES);
            expect(largestBytes).to.be.at.most(MAX_STATE_BYTES);
            expect(blockedSince, "crash after which the part was blocked").to.be.at.most(5);
            expect(detector.admit([BAD])).to.include({ kind: "blocked" });
            expect(peer.admit([BAD])).to.include({ kind: "blocked" });
        });
    });

    describe("merge", () => {
        interface Observation {
            kind: "crash" | "begun";
            parts: readonly string[];
            upstream: string;
            pauseMs: number;
        }

        const observation: fc.Arbitrary<Observation> = fc.record({
            kind: fc.constantFrom("crash", "crash", "crash", "begun"),
            parts: fc.uniqueArray(fc.constantFrom("a", "b", "c", "d", "e"), { minLength: 1, maxLength: 3 }),
            upstream: fc.constantFrom(...Array.from({ length: 9 }, (_, index) => `u${index}`)),
            pauseMs: fc.constantFrom(0, 1, 40, 900, 4000),
        });
        const histories = fc.array(
            fc.record({ gateway: fc.nat(2), observation }),
            { maxLength: 40 },
        );

        /** Returns what each of three gateways reports after the history. */
        function statesAfter(history: ReadonlyArray<{ gateway: number; observation: Observation; }>): {
            states: [CrashEvidence, CrashEvidence, CrashEvidence];
            merged: (...states: readonly CrashEvidence[]) => CrashEvidence;
        } {
            const clock = ManualClock.create();
            const create = (index: number) =>
                CrashDetector.create({
                    clock,
                    log: SilentDecisionLog.create(),
                    position: () => ({ index, count: 4 }),
                    criteria: suspectCriteria.promptPart,
                });
            const detectors = [create(0), create(1), create(2)] as const;
            for (const { gateway, observation: { kind, parts, upstream, pauseMs } } of history) {
                const detector = detectors[gateway]!;
                if (kind === "crash") {
                    detector.recordCrash(parts, upstream);
                }
                else {
                    detector.recordBegun(parts);
                }
                clock.pause(pauseMs);
            }
            const report = (detector: CrashDetector) => JSON.parse(JSON.stringify(detector.state())) as CrashEvidence;
            return {
                states: [report(detectors[0]), report(detectors[1]), report(detectors[2])],
                merged: (...states) => {
                    const detector = create(3);
                    states.forEach(state => detector.merge(state));
                    return report(detector);
                },
            };
        }

        /** Returns a value in which the order of lists and fields does not matter. */
        function canonical(value: unknown): string {
            if (Array.isArray(value)) {
                return `[${value.map(canonical).sort().join(",")}]`;
            }
            if (typeof value === "object" && value) {
                return `{${Object.entries(value).map(([key, item]) => `${key}:${canonical(item)}`).sort().join(",")}}`;
            }
            return JSON.stringify(value) ?? "";
        }

        it("shows evidence that another gateway reported", () => {
            const { states: [state], merged } = statesAfter(
                Array.from({ length: 5 }, (_, crash) => ({
                    gateway: 0,
                    observation: { kind: "crash", parts: ["a"], upstream: `u${crash}`, pauseMs: 900 },
                })),
            );
            expect(canonical(merged(state))).to.not.equal(canonical(merged()));
        });

        it("does not depend on order, repetition or path", () => {
            fc.assert(
                fc.property(histories, history => {
                    const { states: [a, b, c], merged } = statesAfter(history);
                    expect(canonical(merged(a, a)), "idempotent").to.equal(canonical(merged(a)));
                    expect(canonical(merged(a, b, a)), "late and twice").to.equal(canonical(merged(a, b)));
                    expect(canonical(merged(b, a)), "commutative").to.equal(canonical(merged(a, b)));
                    expect(canonical(merged(merged(a, b), c)), "associative").to.equal(
                        canonical(merged(a, merged(b, c))),
                    );
                }),
                { seed: 20261204, numRuns: 200 },
            );
        });
    });

    it("decides the same on every run of a seed", () => {
        const runs = [1, 2].map(() => {
            const fleet = SimulatedCrashes.create({ gateways: 6, seed: 16 });
            fleet.crashingParts.add(BAD);
            addSound(fleet, { perSecond: 60, untilMs: 15_000 });
            fleet.addTraffic(2, { fromMs: 5000, untilMs: 15_000 }, () => badParts(fleet, BAD));
            fleet.run(15_000);
            return fleet.decisions;
        });
        expect(runs[0]).to.deep.equal(runs[1]);
    });
});
