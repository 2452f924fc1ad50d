import type { Random } from "@fescuehaven/runtime";
import type { FaultKind } from "./FaultKind.js";
import type { PlannedFault } from "./PlannedFault.js";

/** Shortest and longest pause before the next fault begins, ms. */
const PAUSE_MS = { least: 100, most: 1300 };

/** Shortest and longest duration of a fault, ms. */
const DURATION_MS = { least: 1000, most: 9000 };

/** Part of the schedule after which the roll-out and the rolling restart of routers begin. */
const ROLL_OUT_PART = 0.3;
const RESTART_PART = 0.55;

/** What faults of a schedule can hit. */
interface FaultTargets {
    routers: readonly string[];
    controllers: readonly string[];
    /** Processes of engines. */
    hosts: readonly string[];
    vms: readonly string[];
    zones: readonly string[];
    domains: readonly string[];
}

/** Where faults of a kind hit; kinds with a higher weight come more often. */
const KINDS: ReadonlyArray<{ kind: FaultKind; targets: keyof FaultTargets | "platform"; weight: number; }> = [
    { kind: "kill-process", targets: "routers", weight: 2 },
    { kind: "kill-process", targets: "controllers", weight: 2 },
    { kind: "kill-process", targets: "hosts", weight: 1 },
    { kind: "pause-process", targets: "routers", weight: 2 },
    { kind: "pause-process", targets: "controllers", weight: 4 },
    { kind: "pause-process", targets: "hosts", weight: 1 },
    { kind: "restart-engine", targets: "vms", weight: 4 },
    { kind: "engine-ignores-fencing", targets: "vms", weight: 4 },
    { kind: "engine-silent", targets: "vms", weight: 1 },
    { kind: "engine-slow", targets: "vms", weight: 1 },
    { kind: "engine-breaks-streams", targets: "vms", weight: 1 },
    { kind: "engine-crosses-answers", targets: "vms", weight: 1 },
    { kind: "platform-outage", targets: "platform", weight: 2 },
    { kind: "platform-slow", targets: "platform", weight: 1 },
    { kind: "platform-loses-answers", targets: "platform", weight: 2 },
    { kind: "platform-loses-writes", targets: "platform", weight: 2 },
    { kind: "platform-silent-watches", targets: "platform", weight: 1 },
    { kind: "zone-cut-off", targets: "zones", weight: 2 },
    { kind: "drain-zone", targets: "zones", weight: 2 },
    { kind: "drain-vm", targets: "vms", weight: 3 },
    { kind: "drain-fabric-domain", targets: "domains", weight: 1 },
    { kind: "vm-leaves", targets: "vms", weight: 2 },
    { kind: "service-loses-answers", targets: "zones", weight: 2 },
    { kind: "service-refuses", targets: "zones", weight: 1 },
];

/** Draws a schedule; one target never has two faults of a kind, nor a process two faults at all, at the same time. */
export function planFaults(random: Random, durationMs: number, targets: FaultTargets): PlannedFault[] {
    const planned: PlannedFault[] = [
        { kind: "roll-out", target: "", atMs: durationMs * ROLL_OUT_PART, durationMs: 0 },
        { kind: "restart-routers", target: "", atMs: durationMs * RESTART_PART, durationMs: 0 },
    ];
    let atMs = 0;
    for (;;) {
        atMs += between(random, PAUSE_MS);
        const lastsMs = Math.min(between(random, DURATION_MS), durationMs - atMs);
        if (lastsMs < DURATION_MS.least) {
            return planned.sort((left, right) => left.atMs - right.atMs);
        }
        const { kind, targets: among } = pickKind(random);
        const pool = among === "platform" ? [""] : targets[among];
        const target = pool[Math.floor(random.next() * pool.length)] ?? "";
        const fault: PlannedFault = { kind, target, atMs, durationMs: lastsMs };
        if (!planned.some(other => clashes(other, fault))) {
            planned.push(fault);
        }
    }
}

function pickKind(random: Random): (typeof KINDS)[number] {
    let point = random.next() * KINDS.reduce((sum, kind) => sum + kind.weight, 0);
    const chosen = KINDS.find(kind => {
        point -= kind.weight;
        return point < 0;
    });
    return chosen ?? KINDS[0]!;
}

function clashes(one: PlannedFault, other: PlannedFault): boolean {
    const overlaps = one.atMs < other.atMs + other.durationMs && other.atMs < one.atMs + one.durationMs;
    const sameProcess = one.target !== "" && one.target === other.target && isOfProcess(one) && isOfProcess(other);
    return overlaps && (sameProcess || (one.kind === other.kind && one.target === other.target));
}

function isOfProcess(fault: PlannedFault): boolean {
    return fault.kind === "kill-process" || fault.kind === "pause-process";
}

function between(random: Random, range: { least: number; most: number; }): number {
    return range.least + random.next() * (range.most - range.least);
}
