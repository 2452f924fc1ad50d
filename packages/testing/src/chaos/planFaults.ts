import type { Random } from "@fescuehaven/runtime";
import type { FaultKind } from "./FaultKind.js";
import type { PlannedFault } from "./PlannedFault.js";

/** Shortest and longest pause before the next fault begins. */
const PAUSE_MS = { least: 100, most: 1300 };

/** Shortest and longest duration of a fault. */
const DURATION_MS = { least: 1000, most: 9000 };

/** Fractions of the schedule after which the roll-out and the rolling restart of routers begin. */
const ROLL_OUT_FRACTION = 0.3;
const RESTART_FRACTION = 0.55;

/** Names of the possible targets of faults. */
interface FaultTargets {
    routers: readonly string[];
    controllers: readonly string[];
    /** Processes that host engines. */
    hosts: readonly string[];
    vms: readonly string[];
    zones: readonly string[];
    domains: readonly string[];
}

/** Kinds of faults with their targets; kinds with a higher weight are drawn more often. */
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

/**
 * Draws a schedule of faults. Two faults of one kind never overlap on the same target, nor do two kill or pause faults
 * on the same process.
 */
export function planFaults(random: Random, durationMs: number, targets: FaultTargets): PlannedFault[] {
    const planned: PlannedFault[] = [
        { kind: "roll-out", target: "", atMs: durationMs * ROLL_OUT_FRACTION, durationMs: 0 },
        { kind: "restart-routers", target: "", atMs: durationMs * RESTART_FRACTION, durationMs: 0 },
    ];
    let atMs = 0;
    for (;;) {
        atMs += drawBetween(random, PAUSE_MS);
        const faultDurationMs = Math.min(drawBetween(random, DURATION_MS), durationMs - atMs);
        if (faultDurationMs < DURATION_MS.least) {
            return planned.sort((left, right) => left.atMs - right.atMs);
        }
        const { kind, targets: targetKind } = pickKind(random);
        const pool = targetKind === "platform" ? [""] : targets[targetKind];
        const target = pool[Math.floor(random.next() * pool.length)] ?? "";
        const fault: PlannedFault = { kind, target, atMs, durationMs: faultDurationMs };
        if (!planned.some(other => conflicts(other, fault))) {
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

function conflicts(one: PlannedFault, other: PlannedFault): boolean {
    const overlaps = one.atMs < other.atMs + other.durationMs && other.atMs < one.atMs + one.durationMs;
    const sameProcess = one.target !== "" && one.target === other.target && isProcessFault(one)
        && isProcessFault(other);
    return overlaps && (sameProcess || (one.kind === other.kind && one.target === other.target));
}

function isProcessFault(fault: PlannedFault): boolean {
    return fault.kind === "kill-process" || fault.kind === "pause-process";
}

function drawBetween(random: Random, range: { least: number; most: number; }): number {
    return range.least + random.next() * (range.most - range.least);
}
