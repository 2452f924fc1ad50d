import {
    consolidateMembers,
    engineUrl,
    type Formation,
    type LedgerDraft,
    replaceMembers,
} from "@fescuehaven/coordination";
import type { ServingGroup } from "@fescuehaven/resources";
import type { PlanInput } from "./PlanInput.js";
import type { VmSnapshot } from "./VmSnapshot.js";

interface GroupPlannerOptions {
    input: PlanInput;
    draft: LedgerDraft;
    group: string;
    spec: ServingGroup;
}

/** Decides the next change to one group's claims and applies it to the draft. */
export class GroupPlanner {
    private constructor(
        private readonly input: PlanInput,
        private readonly draft: LedgerDraft,
        private readonly group: string,
        private readonly spec: ServingGroup,
    ) {}

    /** Creates a planner for one group. */
    static create(options: GroupPlannerOptions): GroupPlanner {
        return new GroupPlanner(options.input, options.draft, options.group, options.spec);
    }

    /** Applies at most one step of the group's lifecycle to the draft. */
    plan(): void {
        const current = this.draft.ledger.groups[this.group];
        if (!this.input.modelVersion(this.spec.modelVersion)) {
            return;
        }
        if (!current) {
            return this.formNew();
        }
        if (current.next) {
            return this.advanceNextFormation(current, current.next);
        }
        if (current.members.some(vm => !this.isHealthy(vm))) {
            return this.replaceMissingMembers(current);
        }
        if (this.isEpochStale(current) || this.hasMemberUrlChanged(current)) {
            return this.draft.form(this.group, this.plannedFormation(current.members));
        }
        if (current.modelVersion !== this.spec.modelVersion || current.members.length !== this.spec.memberCount) {
            return this.rollOut(current);
        }
        if (current.members.some(vm => this.snapshot(vm).departure)) {
            return this.replaceDepartingMembers(current);
        }
        if (current.fabricDomain.includes("+") && this.input.isServing(this.group) && !this.isAnyGroupDown()) {
            return this.consolidate(current);
        }
    }

    private formNew(): void {
        const placement = this.input.place(this.freeVms(), this.spec.memberCount);
        if (placement) {
            this.draft.form(this.group, this.plannedFormation(placement.members));
        }
    }

    /** Closes the group once the next formation has loaded, and adopts that formation once requests have ended. */
    private advanceNextFormation(current: Formation, next: Formation): void {
        const isWanted = next.modelVersion === this.spec.modelVersion
            && next.members.length === this.spec.memberCount
            && next.members.every(vm => this.isHealthy(vm) && !this.snapshot(vm).departure)
            && !this.hasMemberUrlChanged(next);
        if (!isWanted) {
            return this.draft.abandonNext(this.group);
        }
        const incoming = next.members.filter(vm => !current.members.includes(vm));
        if (!incoming.every(vm => this.isReadyAt(vm, next.epoch))) {
            return;
        }
        const departing = current.members.filter(vm => vm !== "" && !next.members.includes(vm));
        departing.forEach(vm => this.draft.release(vm));
        if (!this.isComplete(current) || this.input.isDrained(this.group)) {
            this.draft.adoptNext(this.group);
        }
    }

    /** Re-forms a group that lacks a member, keeping every member that can stay. */
    private replaceMissingMembers(current: Formation): void {
        const isClosing = current.members.every(vm => vm !== "" && !this.snapshot(vm).unresponsive);
        if (isClosing && !this.input.isDrained(this.group)) {
            return;
        }
        const members = this.findReplacement(current);
        if (members) {
            return this.draft.form(this.group, this.plannedFormation(members));
        }
        this.releaseDepartingMembers(current);
    }

    private rollOut(current: Formation): void {
        if (this.isReportedDown(current) && current.members.length === this.spec.memberCount) {
            return this.draft.form(this.group, this.plannedFormation(current.members));
        }
        const surge = this.input.place(this.freeVms(), this.spec.memberCount);
        if (surge) {
            return this.draft.prepareNext(this.group, this.plannedFormation(surge.members));
        }
        if (!this.isOtherGroupRolling()) {
            current.members.forEach(vm => this.draft.release(vm));
        }
    }

    /** Prepares spares for members that have to leave. Without enough spares, the members are released anyway. */
    private replaceDepartingMembers(current: Formation): void {
        const members = this.findReplacement(current);
        if (!members) {
            return this.releaseDepartingMembers(current);
        }
        this.draft.prepareNext(this.group, this.plannedFormation(members));
        current.members.filter(vm => this.snapshot(vm).departure === "vm-leaving").forEach(vm =>
            this.draft.release(vm)
        );
    }

    /** Prepares to move a group that spans several fabric domains into a single one. */
    private consolidate(current: Formation): void {
        const members = current.members.map(name => ({ name, fabricDomain: this.domainOf(name) }));
        const consolidated = consolidateMembers({ members, free: this.freeVms(), place: this.input.place });
        if (consolidated) {
            this.draft.prepareNext(this.group, this.plannedFormation(consolidated));
        }
    }

    private isAnyGroupDown(): boolean {
        return this.input.specs.some(spec => !this.input.isServing(spec.name));
    }

    private releaseDepartingMembers(current: Formation): void {
        current.members.filter(vm => vm !== "" && this.snapshot(vm).departure).forEach(vm => this.draft.release(vm));
    }

    /**
     * Returns the members by rank with every gap filled: from the same domain, else all in another, else across
     * domains. Returns undefined if there are too few free VMs.
     */
    private findReplacement(current: Formation): string[] | undefined {
        const kept = Array.from({ length: this.spec.memberCount }, (_, rank) => {
            const vm = current.members[rank] ?? "";
            return this.canStay(vm) ? vm : "";
        });
        const { place } = this.input;
        return replaceMembers({ kept, homeDomain: this.homeDomain(kept), free: this.freeVms(), place });
    }

    /** Returns true if another group of the model is not in service, so that this group must not close yet. */
    private isOtherGroupRolling(): boolean {
        const model = this.input.modelVersion(this.spec.modelVersion)?.model;
        return this.input.specs.some(other =>
            other.name !== this.group
            && this.input.modelVersion(other.value.modelVersion)?.model === model
            && this.draft.ledger.groups[other.name] !== undefined
            && (!this.input.isServing(other.name) || this.isClosed(other.name))
        );
    }

    private isClosed(group: string): boolean {
        const members = this.draft.ledger.groups[group]?.members ?? [];
        return members.some(vm => this.draft.ledger.claims[vm]?.state !== "held");
    }

    /**
     * Returns true if a member's engine has seen a fencing token above the group's epoch, and then raises the draft's
     * epoch.
     */
    private isEpochStale(current: Formation): boolean {
        const seen = current.members.flatMap(vm => [this.input.highestFence(vm), this.snapshot(vm).report?.epoch ?? 0]);
        const highestSeen = Math.max(0, ...seen);
        if (highestSeen > current.epoch) {
            this.draft.raiseEpoch(highestSeen);
        }
        return highestSeen > current.epoch;
    }

    /** Returns true if a member's name now belongs to a VM at a different address from the one in the load orders. */
    private hasMemberUrlChanged(formation: Formation): boolean {
        return formation.memberUrls?.some((url, rank) => url !== this.urlOf(formation.members[rank] ?? "")) ?? false;
    }

    /** Returns true if a member itself reports that it is not in service. Missing evidence alone is not enough. */
    private isReportedDown(current: Formation): boolean {
        return current.members.some(vm => this.snapshot(vm).report !== undefined && !this.isReadyAt(vm, current.epoch));
    }

    private isComplete(current: Formation): boolean {
        return current.members.every(vm => vm !== "" && !this.snapshot(vm).unresponsive);
    }

    private isHealthy(vm: string): boolean {
        return vm !== "" && this.draft.ledger.claims[vm]?.state === "held" && !this.snapshot(vm).unresponsive;
    }

    private canStay(vm: string): boolean {
        const snapshot = this.snapshot(vm);
        return this.draft.ledger.claims[vm]?.group === this.group && !snapshot.unresponsive && !snapshot.departure;
    }

    private isReadyAt(vm: string, epoch: number): boolean {
        const report = this.snapshot(vm).report;
        return report?.group === this.group && report.epoch === epoch && report.phase === "ready";
    }

    private homeDomain(members: readonly string[]): string {
        const counts = new Map<string, number>();
        members.filter(vm => vm !== "").map(vm => this.domainOf(vm)).forEach(domain =>
            counts.set(domain, (counts.get(domain) ?? 0) + 1)
        );
        return [...counts].sort((left, right) => right[1] - left[1])[0]?.[0] ?? "";
    }

    private plannedFormation(members: readonly string[]): Omit<Formation, "epoch"> {
        const domains = new Set(members.map(vm => this.domainOf(vm)));
        return {
            modelVersion: this.spec.modelVersion,
            fabricDomain: [...domains].sort().join("+"),
            members: [...members],
            memberUrls: members.map(vm => this.urlOf(vm)),
        };
    }

    /** Returns the VMs that can be claimed now. A VM that this draft frees can only be claimed by a later draft. */
    private freeVms(): ReturnType<PlanInput["fleet"]["free"]> {
        return this.input.fleet.free(this.draft.ledger).filter(vm => !this.input.ledger.claims[vm.name]);
    }

    private urlOf(vm: string): string {
        const { record } = this.snapshot(vm);
        return record ? engineUrl(record) : "";
    }

    private domainOf(vm: string): string {
        return this.snapshot(vm).record?.fabricDomain ?? "";
    }

    private snapshot(vm: string): VmSnapshot {
        return this.input.fleet.get(vm);
    }
}
