import type { VmRecord } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder } from "@fescuehaven/telemetry";
import { evidenceTimes } from "./evidenceTimes.js";
import type { MemberObservation } from "./MemberObservation.js";
import type { ObservationTable } from "./ObservationTable.js";
import type { EngineControl } from "./ports/EngineControl.js";
import { ProbeRoles } from "./ProbeRoles.js";
import { engineUrl } from "./util/engineUrl.js";
import { withDeadline } from "./util/withDeadline.js";

interface EngineProberOptions {
    process: string;
    probes: boolean;
    control: EngineControl;
    table: ObservationTable;
    clock: Clock;
    events: EventRecorder;
}

interface Target {
    inFlight: boolean;
    firstSeenMs: number;
    probedAtMs: number;
}

/** Probes engines: at fixed intervals where it is the prober, and others when no process has fresh observations. */
export class EngineProber {
    private readonly targets = new Map<string, Target>();
    private readonly roles: ProbeRoles;

    private constructor(private readonly options: EngineProberOptions) {
        this.roles = ProbeRoles.create(options.process, options.probes);
    }

    /** Creates a prober without targets. */
    static create(options: EngineProberOptions): EngineProber {
        return new EngineProber(options);
    }

    /**
     * Starts every probe that is due. `others` are the names of the probing processes whose observations it receives.
     */
    tick(
        vms: readonly VmRecord[],
        isClaimed: (vm: string) => boolean,
        others: readonly string[],
        signal: AbortSignal,
    ): void {
        this.retain(vms);
        for (const vm of vms) {
            const target = this.target(vm.name);
            if (!target.inFlight && this.isDue(vm.name, target, isClaimed(vm.name), others)) {
                void this.probe(vm, target, signal);
            }
        }
    }

    /** Makes a VM due at the next tick. */
    probeNext(vm: string): void {
        const target = this.targets.get(vm);
        if (target) {
            target.probedAtMs = -Infinity;
            target.firstSeenMs = -Infinity;
        }
    }

    private isDue(vm: string, target: Target, claimed: boolean, others: readonly string[]): boolean {
        const nowMs = this.options.clock.monotonicMs();
        const intervalMs = claimed ? evidenceTimes.claimedIntervalMs : evidenceTimes.unclaimedIntervalMs;
        const sinceProbeMs = nowMs - target.probedAtMs;
        if (sinceProbeMs < intervalMs) {
            return false;
        }
        const newest = this.options.table.newest(vm, nowMs);
        const ageMs = nowMs - (newest?.observedAtMs ?? target.firstSeenMs);
        const reportedUnreachable = claimed && newest?.kind === "unreachable";
        if (reportedUnreachable && sinceProbeMs >= evidenceTimes.verifyIntervalMs) {
            return true;
        }
        return this.isDueByRole[this.roles.roleFor(vm, others)](ageMs / intervalMs);
    }

    private readonly isDueByRole = {
        prober: () => true,
        backup: (ageInIntervals: number) => ageInIntervals > evidenceTimes.backupIntervals,
        listener: (ageInIntervals: number) => ageInIntervals > evidenceTimes.listenerIntervals,
    };

    /**
     * Probes an engine. A report is dated to when the probe was sent, since the engine made it some time after that.
     */
    private async probe(vm: VmRecord, target: Target, signal: AbortSignal): Promise<void> {
        const { clock, control, table } = this.options;
        const timeoutMs = evidenceTimes.probeTimeoutMs;
        const sentAtMs = clock.monotonicMs();
        target.inFlight = true;
        target.probedAtMs = sentAtMs;
        const report = await withDeadline(clock, timeoutMs, signal, () => control.report(engineUrl(vm), timeoutMs));
        target.inFlight = false;
        if (signal.aborted) {
            return;
        }
        const observation: MemberObservation = report?.vm === vm.name
            ? { kind: "reported", report, observedAtMs: sentAtMs }
            : { kind: "unreachable", vm: vm.name, observedAtMs: clock.monotonicMs() };
        this.recordChange(vm.name, table.newest(vm.name, clock.monotonicMs()), observation);
        table.putOwn(vm.name, observation);
    }

    private recordChange(vm: string, before: MemberObservation | undefined, now: MemberObservation): void {
        if (before?.kind !== "reported") {
            return;
        }
        if (now.kind === "unreachable") {
            this.options.events.record({ kind: "member-lost", vm, reason: "unreachable" });
        }
        else if (now.report.bootId !== before.report.bootId) {
            this.options.events.record({ kind: "member-cold", vm, reason: "new-boot-id" });
        }
    }

    private target(vm: string): Target {
        const target = this.targets.get(vm)
            ?? { inFlight: false, firstSeenMs: this.options.clock.monotonicMs(), probedAtMs: -Infinity };
        this.targets.set(vm, target);
        return target;
    }

    private retain(vms: readonly VmRecord[]): void {
        if (this.targets.size <= vms.length) {
            return;
        }
        const names = new Set(vms.map(vm => vm.name));
        [...this.targets.keys()].filter(vm => !names.has(vm)).forEach(vm => this.targets.delete(vm));
        this.options.table.retain(names);
    }
}
