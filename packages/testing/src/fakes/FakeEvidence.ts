import { engineUrl, type EvidenceView, type GroupEvidence, type MemberObservation } from "@fescuehaven/coordination";
import type { ZoneLedger } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { FakeEngines } from "./FakeEngines.js";

/** Evidence as ideal probes would find it: `ready` sees every engine that can be reached as it is now. */
export class FakeEvidence implements EvidenceView {
    /** Time between two looks at an engine; 0 looks each time. */
    probeEveryMs = 0;

    /** VMs of which nothing is known, as after a pause of the observer. */
    readonly blindTo = new Set<string>();

    private readonly samples = new Map<string, MemberObservation>();

    private constructor(
        private readonly clock: Clock,
        private readonly engines: FakeEngines,
        private readonly ledger: () => ZoneLedger | undefined,
    ) {}

    /** Creates evidence about `engines` against the ledger that `ledger` yields. */
    static create(options: {
        clock: Clock;
        engines: FakeEngines;
        ledger: () => ZoneLedger | undefined;
    }): FakeEvidence {
        return new FakeEvidence(options.clock, options.engines, options.ledger);
    }

    /** Evidence for a group if all members are present at its epoch. */
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

    /** Every group with evidence. */
    readyGroups(): GroupEvidence[] {
        return Object.keys(this.ledger()?.groups ?? {}).flatMap(group => this.ready(group) ?? []);
    }

    /** The engine of a VM as it was at the last look. */
    observation(vm: string): MemberObservation | undefined {
        if (this.blindTo.has(vm)) {
            return undefined;
        }
        const sample = this.samples.get(vm);
        if (sample && this.clock.monotonicMs() - sample.observedAtMs < this.probeEveryMs) {
            return sample;
        }
        const fresh = this.look(vm);
        if (fresh) {
            this.samples.set(vm, fresh);
        }
        return fresh;
    }

    /** Does nothing: engines are looked at in turn anyway. */
    invalidate(): void {}

    private look(vm: string): MemberObservation | undefined {
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
        const observation = this.blindTo.has(vm) ? undefined : this.look(vm);
        if (claim?.state !== "held" || observation?.kind !== "reported") {
            return false;
        }
        const { report } = observation;
        return report.phase === "ready" && report.group === group && report.epoch === entry?.epoch
            && report.modelVersion === entry.modelVersion && report.rank === rank;
    }
}
