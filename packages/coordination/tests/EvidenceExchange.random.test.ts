import { expect } from "chai";
import fc from "fast-check";
import { evidenceTimes } from "../src/index.js";
import { EvidenceRig } from "./util/EvidenceRig.js";

const PROCESSES = ["router-1", "router-2", "controller-1"];
const MEMBERS = ["vm-1", "vm-2"];
const SEED = 20260102;
const RUNS = 40;
const STEP_MS = 50;
/** Longest time until the group is ready after every fault has ended. */
const RECOVERY_MS = 5000;

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

/** The actual states of the members, and until when each was last as the ledger claims. */
class MemberStates {
    readonly dead = new Set<string>();
    private readonly matchingUntilMs = new Map<string, number>();

    constructor(private readonly rig: EvidenceRig) {}

    record(): void {
        MEMBERS.filter(member => this.isAsClaimed(member))
            .forEach(member => this.matchingUntilMs.set(member, this.rig.clock.monotonicMs()));
    }

    /** Returns the time since every member was last as the ledger claims. */
    mismatchedForMs(): number {
        const lastMs = Math.min(...MEMBERS.map(member => this.matchingUntilMs.get(member) ?? 0));
        return this.rig.clock.monotonicMs() - lastMs;
    }

    private isAsClaimed(member: string): boolean {
        const report = this.rig.reports.get(member);
        return !this.dead.has(member) && report?.phase === "ready" && report.epoch === 7;
    }
}

function apply(rig: EvidenceRig, members: MemberStates, step: Step): void {
    members.record();
    const handlers: { [K in keyof StepFields]: (step: StepFields[K]) => void; } = {
        die: ({ vm }) => {
            members.dead.add(vm);
            rig.silence(vm);
        },
        revive: ({ vm }) => {
            members.dead.delete(vm);
            rig.unsilence(vm);
        },
        restart: ({ vm }) => rig.report(vm, { bootId: `${vm}-${rig.clock.monotonicMs()}`, phase: "empty", epoch: 0 }),
        "advance-epoch": ({ vm }) => rig.report(vm, { epoch: 8 }),
        unreachable: ({ process, vm }) => rig.silence(vm, process),
        reachable: ({ process, vm }) => members.dead.has(vm) || rig.unsilence(vm, process),
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

function heal(rig: EvidenceRig, members: MemberStates): void {
    members.dead.clear();
    MEMBERS.forEach(member => {
        rig.unsilence(member);
        rig.report(member, { phase: "ready", epoch: 7 });
    });
    PROCESSES.forEach(one => PROCESSES.forEach(other => rig.network.setLink(one, other, "open")));
    rig.network.delayMs = 0;
}

describe("EvidenceExchange in random runs", () => {
    it("is never ready past the bound, and is ready after every fault has ended", async () => {
        const plan = fc.array(fc.tuple(stepArbitrary, fc.integer({ min: 0, max: 2000 })), { maxLength: 20 });
        await fc.assert(
            fc.asyncProperty(plan, async steps => {
                const rig = EvidenceRig.create(PROCESSES, MEMBERS);
                const members = new MemberStates(rig);
                const check = () => {
                    members.record();
                    for (const name of PROCESSES) {
                        if (rig.evidence(name).ready("g")) {
                            expect(members.mismatchedForMs(), name).to.be.at.most(evidenceTimes.ttlMs);
                        }
                    }
                };
                rig.start(...PROCESSES);
                await rig.clock.advance(1000);
                for (const [step, waitMs] of steps) {
                    apply(rig, members, step);
                    check();
                    for (let elapsedMs = 0; elapsedMs < waitMs; elapsedMs += STEP_MS) {
                        await rig.clock.advance(STEP_MS);
                        check();
                    }
                }
                heal(rig, members);
                await rig.clock.advance(RECOVERY_MS);
                expect(PROCESSES.filter(name => !rig.evidence(name).ready("g"))).to.deep.equal([]);
                await rig.stop();
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });
});
