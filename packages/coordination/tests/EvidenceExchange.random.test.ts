import { expect } from "chai";
import fc from "fast-check";
import { evidenceTimes } from "../src/index.js";
import { EvidenceRig } from "./util/EvidenceRig.js";

const PROCESSES = ["router-1", "router-2", "controller-1"];
const MEMBERS = ["vm-1", "vm-2"];
const SEED = 20260102;
const RUNS = 40;
const STEP_MS = 50;
/** Longest time to readiness once everything works again, ms. */
const SETTLE_MS = 5000;

interface StepFields {
    die: { vm: string; };
    revive: { vm: string; };
    restart: { vm: string; };
    "advance-epoch": { vm: string; };
    unreachable: { process: string; vm: string; };
    reachable: { process: string; vm: string; };
    silent: { process: string; other: string; };
    refused: { process: string; other: string; };
    open: { process: string; other: string; };
    delay: { delayMs: number; };
    "silence-connections": object;
    pause: { durationMs: number; };
}

type Step = { [K in keyof StepFields]: { kind: K; } & StepFields[K]; }[keyof StepFields];

const vm = fc.constantFrom(...MEMBERS);
const process = fc.constantFrom(...PROCESSES);
const stepArbitrary = fc.oneof(
    fc.record({ kind: fc.constantFrom("die", "revive", "restart", "advance-epoch"), vm }),
    fc.record({ kind: fc.constantFrom("unreachable", "reachable"), process, vm }),
    fc.record({ kind: fc.constantFrom("silent", "refused", "open"), process, other: process }),
    fc.record({ kind: fc.constant("delay"), delayMs: fc.constantFrom(0, 300, 700, 700) }),
    fc.record({ kind: fc.constant("delay"), delayMs: fc.constant(700) }),
    fc.record({ kind: fc.constant("silence-connections") }),
    fc.record({ kind: fc.constant("pause"), durationMs: fc.integer({ min: 50, max: 3000 }) }),
) as fc.Arbitrary<Step>;

/** The members' true states, and until when each was last as the ledger claims. */
class Truth {
    readonly dead = new Set<string>();
    private readonly goodUntilMs = new Map<string, number>();

    constructor(private readonly rig: EvidenceRig) {}

    note(): void {
        MEMBERS.filter(member => this.isGood(member))
            .forEach(member => this.goodUntilMs.set(member, this.rig.clock.monotonicMs()));
    }

    /** Time since some member was last good, ms. */
    badForMs(): number {
        const lastMs = Math.min(...MEMBERS.map(member => this.goodUntilMs.get(member) ?? 0));
        return this.rig.clock.monotonicMs() - lastMs;
    }

    private isGood(member: string): boolean {
        const report = this.rig.reports.get(member);
        return !this.dead.has(member) && report?.phase === "ready" && report.epoch === 7;
    }
}

function apply(rig: EvidenceRig, truth: Truth, step: Step): void {
    truth.note();
    const handlers: { [K in keyof StepFields]: (step: StepFields[K]) => void; } = {
        die: ({ vm }) => {
            truth.dead.add(vm);
            rig.silence(vm);
        },
        revive: ({ vm }) => {
            truth.dead.delete(vm);
            rig.speak(vm);
        },
        restart: ({ vm }) => rig.report(vm, { bootId: `${vm}-${rig.clock.monotonicMs()}`, phase: "empty", epoch: 0 }),
        "advance-epoch": ({ vm }) => rig.report(vm, { epoch: 8 }),
        unreachable: ({ process, vm }) => rig.silence(vm, process),
        reachable: ({ process, vm }) => truth.dead.has(vm) || rig.speak(vm, process),
        silent: ({ process, other }) => rig.network.setLink(process, other, "silent"),
        refused: ({ process, other }) => rig.network.setLink(process, other, "refused"),
        open: ({ process, other }) => rig.network.setLink(process, other, "open"),
        delay: ({ delayMs }) => {
            rig.network.delayMs = delayMs;
        },
        "silence-connections": () => rig.network.silenceConnections(),
        pause: ({ durationMs }) => rig.clock.pause(durationMs),
    };
    handlers[step.kind](step as never);
}

function mend(rig: EvidenceRig, truth: Truth): void {
    truth.dead.clear();
    MEMBERS.forEach(member => {
        rig.speak(member);
        rig.report(member, { phase: "ready", epoch: 7 });
    });
    PROCESSES.forEach(one => PROCESSES.forEach(other => rig.network.setLink(one, other, "open")));
    rig.network.delayMs = 0;
}

describe("EvidenceExchange in random runs", () => {
    it("is never ready past the bound, and is ready once everything works again", async () => {
        const plan = fc.array(fc.tuple(stepArbitrary, fc.integer({ min: 0, max: 2000 })), { maxLength: 20 });
        await fc.assert(
            fc.asyncProperty(plan, async steps => {
                const rig = EvidenceRig.create(PROCESSES, MEMBERS);
                const truth = new Truth(rig);
                const check = () => {
                    truth.note();
                    for (const name of PROCESSES) {
                        if (rig.evidence(name).ready("g")) {
                            expect(truth.badForMs(), name).to.be.at.most(evidenceTimes.ttlMs);
                        }
                    }
                };
                rig.start(...PROCESSES);
                await rig.clock.advance(1000);
                for (const [step, waitMs] of steps) {
                    apply(rig, truth, step);
                    check();
                    for (let elapsedMs = 0; elapsedMs < waitMs; elapsedMs += STEP_MS) {
                        await rig.clock.advance(STEP_MS);
                        check();
                    }
                }
                mend(rig, truth);
                await rig.clock.advance(SETTLE_MS);
                expect(PROCESSES.filter(name => !rig.evidence(name).ready("g"))).to.deep.equal([]);
                await rig.stop();
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });
});
