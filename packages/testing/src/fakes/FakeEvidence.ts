import { engineUrl, type EvidenceView, type GroupEvidence, type MemberObservation } from "@fescuehaven/coordination";
import type { ZoneLedger } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { FakeEngines } from "./FakeEngines.js";

/** Evidence from ideal probes: `ready` uses the current state of every reachable engine. */
export class FakeEvidence implements EvidenceView {
    /** Time for which `observation` returns the last observation of an engine; 0 observes it at each call. */
    probeEveryMs = 0;

    /** VMs without an observation, as after a pause of the observer. */
    readonly unobservedVms = new Set<string>();

    private readonly observations = new Map<string, MemberObservation>();

    private constructor(
        private readonly clock: Clock,
        private readonly engines: FakeEngines,
        private readonly ledger: () => ZoneLedger | undefined,
    ) {}

    /** Creates evidence about `engines`, compared with the ledger that `ledger` returns. */
    static create(options: {
        clock: Clock;
        engines: FakeEngines;
        ledger: () => ZoneLedger | undefined;
    }): FakeEvidence {
        return new FakeEvidence(options.clock, options.engines, options.ledger);
    }

    /** Returns evidence for a group if all members are ready at its epoch, otherwise undefined. */
    ready(group: string): GroupEvidence | undefined {
        const ledger = this.ledger();
        const entry = ledger?.groups[group];
        if (!ledger || !entry || !entry.members.every((vm, rank) => this.isPresent(ledger, group, vm, rank))) {
            return undefined;
        }
        const head = this.engines.get(entry.members[0] ?? "");
        return {
            group,
            epoch: entry.epoch,
            modelVersion: entry.modelVersion,
            headVm: head.record.name,
            headUrl: engineUrl(head.record),
            bootIds: entry.members.map(vm => this.engines.get(vm).bootId),
            reportedLoad: head.runningRequests,
            freshUntilMs: this.clock.monotonicMs() + 1000,
        };
    }

    /** Returns the evidence of every group that has some. */
    readyGroups(): GroupEvidence[] {
        return Object.keys(this.ledger()?.groups ?? {}).flatMap(group => this.ready(group) ?? []);
    }

    /** Returns the last observation of a VM's engine; undefined if there is no engine or the VM is unobserved. */
    observation(vm: string): MemberObservation | undefined {
        if (this.unobservedVms.has(vm)) {
            return undefined;
        }
        const last = this.observations.get(vm);
        if (last && this.clock.monotonicMs() - last.observedAtMs < this.probeEveryMs) {
            return last;
        }
        const current = this.observe(vm);
        if (current) {
            this.observations.set(vm, current);
        }
        return current;
    }

    /** Does nothing: `ready` observes the engines at each call. */
    invalidate(): void {}

    private observe(vm: string): MemberObservation | undefined {
        const engine = this.engines.lookUp(vm);
        const observedAtMs = this.clock.monotonicMs();
        if (!engine) {
            return undefined;
        }
        return engine.reachable
            ? { kind: "reported", report: engine.report(), observedAtMs }
            : { kind: "unreachable", vm, observedAtMs };
    }

    private isPresent(ledger: ZoneLedger, group: string, vm: string, rank: number): boolean {
        const entry = ledger.groups[group];
        const claim = ledger.claims[vm];
        const observation = this.unobservedVms.has(vm) ? undefined : this.observe(vm);
        if (claim?.state !== "held" || observation?.kind !== "reported") {
            return false;
        }
        const { report } = observation;
        return report.phase === "ready" && report.group === group && report.epoch === entry?.epoch
            && report.modelVersion === entry.modelVersion && report.rank === rank;
    }
}
