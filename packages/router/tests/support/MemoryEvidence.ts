import type { EvidenceView, GroupEvidence, MemberObservation } from "@fescuehaven/coordination";
import type { Clock } from "@fescuehaven/runtime";

/** Evidence that a test sets directly. */
export class MemoryEvidence implements EvidenceView {
    readonly invalidated: string[] = [];
    readonly observations = new Map<string, MemberObservation>();
    private readonly groups = new Map<string, GroupEvidence>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): MemoryEvidence {
        return new MemoryEvidence(clock);
    }

    set(evidence: GroupEvidence): void {
        this.groups.set(evidence.group, evidence);
    }

    close(group: string): void {
        this.groups.delete(group);
    }

    ready(group: string): GroupEvidence | undefined {
        const evidence = this.groups.get(group);
        return evidence && evidence.freshUntilMs > this.clock.monotonicMs() ? evidence : undefined;
    }

    readyGroups(): GroupEvidence[] {
        return [...this.groups.keys()].map(group => this.ready(group)).filter(evidence => evidence !== undefined);
    }

    observation(vm: string): MemberObservation | undefined {
        return this.observations.get(vm);
    }

    invalidate(vm: string): void {
        this.invalidated.push(vm);
        for (const evidence of this.groups.values()) {
            if (evidence.headVm === vm) {
                this.groups.delete(evidence.group);
            }
        }
    }
}
