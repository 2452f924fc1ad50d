import { expect } from "chai";
import { evidenceTimes, type MemberReport } from "../src/index.js";
import { EvidenceRig } from "./util/EvidenceRig.js";

const ROUTERS = ["router-1", "router-2", "router-3"];
const ALL = [...ROUTERS, "controller-1"];
const MEMBERS = ["vm-1", "vm-2", "vm-3", "vm-4"];

/** Interval at which evidence is checked; a fault of one process must cause no time without evidence. */
const STEP_MS = 25;

describe("EvidenceExchange", () => {
    let rig: EvidenceRig;
    const isReady = (name: string) => rig.evidence(name).ready("g") !== undefined;

    const start = async (...names: string[]) => {
        rig = EvidenceRig.create(ALL, MEMBERS);
        rig.start(...names);
        await rig.clock.advance(2000);
    };

    /** Advances in small steps and returns the names of processes that lacked evidence at any step. */
    const unreadyDuring = async (durationMs: number, names: readonly string[]) => {
        const unready = new Set<string>();
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
            await rig.clock.advance(STEP_MS);
            names.filter(name => !isReady(name)).forEach(name => unready.add(name));
        }
        return [...unready];
    };

    /** Returns the router that probes most often. */
    const busiest = async () => {
        ROUTERS.forEach(name => rig.process(name).probes = 0);
        await rig.clock.advance(2000);
        return ROUTERS.reduce((a, b) => rig.process(a).probes >= rig.process(b).probes ? a : b);
    };

    afterEach(() => rig.stop());

    describe("without faults", () => {
        beforeEach(() => start(...ALL));

        it("is always ready in every process", async () => {
            expect(await unreadyDuring(3000, ALL)).to.deep.equal([]);
            expect(rig.evidence("router-1").ready("g")).to.deep.include({
                epoch: 7,
                headUrl: "http://vm-1:80",
                bootIds: MEMBERS.map(vm => `${vm}-boot-1`),
            });
        });

        it("distributes the probing, of which a controller does none", async () => {
            ALL.forEach(name => rig.process(name).probes = 0);
            await rig.clock.advance(10_000);
            const probes = ALL.map(name => rig.process(name).probes);
            const expected = MEMBERS.length * 10_000 / evidenceTimes.claimedIntervalMs;
            expect(probes.reduce((sum, count) => sum + count)).to.be.within(expected * 0.8, expected * 1.05);
            expect(rig.process("controller-1").probes).to.equal(0);
        });
    });

    describe("of a member that is not as the ledger claims", () => {
        const changes: Array<[name: string, change: Partial<MemberReport>]> = [
            ["an older epoch", { epoch: 6 }],
            ["a newer epoch", { epoch: 8 }],
            ["another group", { group: "h" }],
            ["another model version", { modelVersion: "m2" }],
            ["another rank", { rank: 3 }],
            ["loading", { phase: "loading" }],
            ["a restart, empty", { bootId: "new", phase: "empty", group: "", epoch: 0 }],
        ];
        for (const [name, change] of changes) {
            it(`closes the group everywhere within the bound: ${name}`, async () => {
                await start(...ALL);
                rig.report("vm-2", change);
                await rig.clock.advance(evidenceTimes.ttlMs);
                expect(ALL.filter(isReady)).to.deep.equal([]);
            });
        }

        const ledgers: Array<[name: string, change: () => void]> = [
            ["releasing", () => Object.assign(rig.ledger.claims["vm-2"] ?? {}, { state: "releasing" })],
            ["claimed at a newer epoch", () => Object.assign(rig.ledger.claims["vm-2"] ?? {}, { epoch: 8 })],
            ["claimed for another group", () => Object.assign(rig.ledger.claims["vm-2"] ?? {}, { group: "h" })],
            ["not claimed", () => delete rig.ledger.claims["vm-2"]],
            ["of a group at a newer epoch", () => Object.assign(rig.ledger.groups.g ?? {}, { epoch: 8 })],
        ];
        for (const [name, change] of ledgers) {
            it(`closes the group at once: ${name}`, async () => {
                await start(...ALL);
                change();
                expect(ALL.filter(isReady)).to.deep.equal([]);
            });
        }

        it("reports a new boot id while the group stays ready", async () => {
            await start(...ALL);
            rig.report("vm-2", { bootId: "new" });
            await rig.clock.advance(evidenceTimes.ttlMs);
            expect(rig.evidence("router-1").ready("g")?.bootIds[1]).to.equal("new");
            const events = ALL.flatMap(name => rig.process(name).events.ofKind("member-cold"));
            expect(events).to.have.length(1);
        });
    });

    it("closes the group within the bound of a member's death", async () => {
        await start(...ALL);
        rig.silence("vm-3");
        await rig.clock.advance(evidenceTimes.ttlMs);
        expect(ALL.filter(isReady)).to.deep.equal([]);
    });

    it("dates evidence to when the probe was sent, however slow the response", async () => {
        await start("router-1");
        const { engines } = rig.process("router-1");
        const report = engines.report.bind(engines);
        engines.report = async url => {
            const response = await report(url);
            await rig.clock.sleep(evidenceTimes.probeTimeoutMs - 10);
            return response;
        };
        for (let step = 0; step < 100; step++) {
            const before = rig.evidence("router-1").observation("vm-1")?.observedAtMs;
            await rig.clock.advance(STEP_MS);
            const observation = rig.evidence("router-1").observation("vm-1");
            if (observation && observation.observedAtMs !== before) {
                const ageMs = rig.clock.monotonicMs() - observation.observedAtMs;
                expect(ageMs).to.be.at.least(evidenceTimes.probeTimeoutMs - 10);
            }
        }
        expect(isReady("router-1")).to.be.true;
    });

    describe("when a prober fails", () => {
        const faults: Array<[name: string, inject: (router: string) => void]> = [
            ["it dies", router => rig.kill(router)],
            ["its links go silent", router => ALL.forEach(name => rig.network.setLink(router, name, "silent"))],
        ];
        for (const [name, inject] of faults) {
            it(`keeps evidence in the other processes without a gap: ${name}`, async () => {
                await start(...ALL);
                const failed = await busiest();
                inject(failed);
                const others = ALL.filter(other => other !== failed);
                expect(await unreadyDuring(3000, others)).to.deep.equal([]);
            });
        }

        it("keeps evidence when two of three become unreachable together", async () => {
            await start(...ALL);
            ["router-1", "router-2"].forEach(router =>
                ALL.forEach(name => rig.network.setLink(router, name, "silent"))
            );
            expect(await unreadyDuring(3000, ["router-3", "controller-1"])).to.deep.equal([]);
        });

        it("lets a controller probe when no router is reachable", async () => {
            await start("controller-1");
            expect(isReady("controller-1")).to.be.true;
            expect(rig.process("controller-1").probes).to.be.greaterThan(0);
        });

        it("opens a new connection when one stays silent", async () => {
            await start("router-1", "router-2");
            rig.network.silenceConnections();
            await rig.clock.advance(3000);
            const found = rig.process("router-1").events.ofKind("peer-found");
            expect(found).to.have.length(2);
        });

        it("reopens a silent stream when the link works again", async () => {
            await start(...ALL);
            rig.network.setLink("router-1", "router-2", "silent");
            await rig.clock.advance(5000);
            rig.network.setLink("router-1", "router-2", "open");
            await rig.clock.advance(3000);
            const found = rig.process("router-1").events.ofKind("peer-found").filter(event =>
                event.reason === "router-2"
            );
            expect(found).to.have.length(2);
        });
    });

    it("relies on its own probes when another process cannot reach a member", async () => {
        await start(...ALL);
        const prober = await busiest();
        MEMBERS.forEach(vm => rig.silence(vm, prober));
        await rig.clock.advance(2000);
        const others = ALL.filter(name => name !== prober);
        expect(await unreadyDuring(3000, others)).to.deep.equal([]);
    });

    it("does not mistake delayed observations for fresh ones", async () => {
        await start("router-1", "controller-1");
        rig.network.delayMs = evidenceTimes.streamSilenceMs - 100;
        await rig.clock.advance(3000);
        const deadAtMs = rig.clock.monotonicMs();
        rig.silence("vm-1");
        let lastReadyMs = 0;
        for (let step = 0; step < 200; step++) {
            await rig.clock.advance(STEP_MS);
            lastReadyMs = isReady("controller-1") ? rig.clock.monotonicMs() : lastReadyMs;
        }
        expect(lastReadyMs - deadAtMs).to.be.at.most(evidenceTimes.ttlMs);
    });

    it("stays connected to routers without new observations", async () => {
        rig = EvidenceRig.create(ALL, ["vm-1"]);
        rig.start(...ALL);
        await rig.clock.advance(5000);
        expect(ALL.flatMap(name => rig.process(name).events.ofKind("peer-lost"))).to.deep.equal([]);
    });

    it("opens the group again when a silent member responds again", async () => {
        await start(...ALL);
        rig.silence("vm-1");
        await rig.clock.advance(3000);
        ALL.forEach(name => rig.process(name).engines.silent.clear());
        await rig.clock.advance(2000);
        expect(ALL.filter(isReady)).to.deep.equal(ALL);
    });

    it("accepts no report of another VM at a member's address", async () => {
        await start("router-1");
        rig.report("vm-1", { vm: "vm-9" });
        await rig.clock.advance(evidenceTimes.ttlMs);
        expect(isReady("router-1")).to.be.false;
        expect(rig.evidence("router-1").observation("vm-1")?.kind).to.equal("unreachable");
    });

    describe("after a pause", () => {
        it("has no evidence until it has probed again", async () => {
            await start("router-1");
            rig.clock.pause(evidenceTimes.pauseThresholdMs + 1);
            expect(isReady("router-1")).to.be.false;
            await rig.clock.advance(evidenceTimes.claimedIntervalMs * 2);
            expect(isReady("router-1")).to.be.true;
            expect(rig.process("router-1").events.ofKind("process-paused")).to.have.length(1);
        });

        it("detects that its monotonic clock stopped", async () => {
            await start("router-1");
            const wall = rig.clock.now.bind(rig.clock);
            rig.clock.now = () => new Date(wall().getTime() + 10_000);
            expect(isReady("router-1")).to.be.false;
        });

        it("samples its peers' clocks again", async () => {
            await start("router-1", "controller-1");
            let streams = 0;
            rig.network.onCall = (from, _to, method) => {
                streams += from === "controller-1" && method === "WatchEvidence" ? 1 : 0;
            };
            const wall = rig.clock.now.bind(rig.clock);
            rig.clock.now = () => new Date(wall().getTime() + 10_000);
            await rig.clock.advance(1000);
            expect(streams).to.equal(1);
        });

        it("ignores what was sent to it before", async () => {
            await start("router-1", "controller-1");
            rig.silence("vm-1");
            rig.clock.pause(evidenceTimes.ttlMs);
            expect(isReady("controller-1")).to.be.false;
            for (let iteration = 0; iteration < 20; iteration++) {
                await rig.clock.settle();
                expect(isReady("controller-1")).to.be.false;
            }
        });
    });

    it("accepts only observations made after `invalidate`, and probes at once", async () => {
        await start(...ALL);
        rig.process("router-1").probes = 0;
        rig.evidence("router-1").invalidate("vm-1");
        expect(isReady("router-1")).to.be.false;
        await rig.clock.advance(evidenceTimes.tickMs);
        expect(rig.process("router-1").probes).to.be.greaterThan(0);
        expect(isReady("router-1")).to.be.true;
    });
});
