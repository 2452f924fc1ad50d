import {
    consolidateMembers,
    engineUrl,
    type Formation,
    type LedgerDraft,
    replaceMembers,
} from "@fescuehaven/coordination";
import type { ServingGroup } from "@fescuehaven/resources";
import type { PlanInput } from "./PlanInput.js";
import type { VmFacts } from "./VmFacts.js";

/** Dependencies of a `GroupPlanner`. */
interface GroupPlannerOptions {
    input: PlanInput;
    draft: LedgerDraft;
    group: string;
    spec: ServingGroup;
}

/** Decides the next change to one group's claims and edits it into the draft. */
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

    /** Edits at most one step of the group's life into the draft. */
    plan(): void {
        const entry = this.draft.ledger.groups[this.group];
        if (!this.input.modelVersion(this.spec.modelVersion)) {
            return;
        }
        if (!entry) {
            return this.formFirst();
        }
        if (entry.next) {
            return this.continueNext(entry, entry.next);
        }
        if (entry.members.some(vm => !this.isSound(vm))) {
            return this.replaceMissing(entry);
        }
        if (this.isOutrun(entry) || this.isMoved(entry)) {
            return this.draft.form(this.group, this.planned(entry.members));
        }
        if (entry.modelVersion !== this.spec.modelVersion || entry.members.length !== this.spec.memberCount) {
            return this.rollOut(entry);
        }
        if (entry.members.some(vm => this.facts(vm).departure)) {
            return this.moveAway(entry);
        }
        if (entry.fabricDomain.includes("+") && this.input.isServing(this.group) && !this.isAnyGroupWaiting()) {
            return this.consolidate(entry);
        }
    }

    private formFirst(): void {
        const placement = this.input.place(this.freeVms(), this.spec.memberCount);
        if (placement) {
            this.draft.form(this.group, this.planned(placement.members));
        }
    }

    /** Closes the group once the next formation has loaded, and puts it in service once requests have ended. */
    private continueNext(entry: Formation, next: Formation): void {
        const isWanted = next.modelVersion === this.spec.modelVersion
            && next.members.length === this.spec.memberCount
            && next.members.every(vm => this.isSound(vm) && !this.facts(vm).departure)
            && !this.isMoved(next);
        if (!isWanted) {
            return this.draft.abandonNext(this.group);
        }
        const incoming = next.members.filter(vm => !entry.members.includes(vm));
        if (!incoming.every(vm => this.isReadyAt(vm, next.epoch))) {
            return;
        }
        const departing = entry.members.filter(vm => vm !== "" && !next.members.includes(vm));
        departing.forEach(vm => this.draft.release(vm));
        if (!this.isComplete(entry) || this.input.isDrained(this.group)) {
            this.draft.adoptNext(this.group);
        }
    }

    /** Forms a group anew that lacks a member, keeping every member that can stay. */
    private replaceMissing(entry: Formation): void {
        const isClosing = entry.members.every(vm => vm !== "" && !this.facts(vm).lost);
        if (isClosing && !this.input.isDrained(this.group)) {
            return;
        }
        const members = this.findReplacement(entry);
        if (members) {
            return this.draft.form(this.group, this.planned(members));
        }
        this.releaseDeparting(entry);
    }

    private rollOut(entry: Formation): void {
        if (this.isSurelyDown(entry) && entry.members.length === this.spec.memberCount) {
            return this.draft.form(this.group, this.planned(entry.members));
        }
        const surge = this.input.place(this.freeVms(), this.spec.memberCount);
        if (surge) {
            return this.draft.prepareNext(this.group, this.planned(surge.members));
        }
        if (!this.isOtherGroupRolling()) {
            entry.members.forEach(vm => this.draft.release(vm));
        }
    }

    /** Prepares spares for members that have to go. Without spares they go all the same. */
    private moveAway(entry: Formation): void {
        const members = this.findReplacement(entry);
        if (!members) {
            return this.releaseDeparting(entry);
        }
        this.draft.prepareNext(this.group, this.planned(members));
        entry.members.filter(vm => this.facts(vm).departure === "vm-leaving").forEach(vm => this.draft.release(vm));
    }

    /** Prepares to move a group that spans fabric domains into one of them. */
    private consolidate(entry: Formation): void {
        const members = entry.members.map(name => ({ name, fabricDomain: this.domainOf(name) }));
        const united = consolidateMembers({ members, free: this.freeVms(), place: this.input.place });
        if (united) {
            this.draft.prepareNext(this.group, this.planned(united));
        }
    }

    private isAnyGroupWaiting(): boolean {
        return this.input.specs.some(spec => !this.input.isServing(spec.name));
    }

    private releaseDeparting(entry: Formation): void {
        entry.members.filter(vm => vm !== "" && this.facts(vm).departure).forEach(vm => this.draft.release(vm));
    }

    /** Members by rank with every gap filled: from the same domain, else whole in another, else across domains. */
    private findReplacement(entry: Formation): string[] | undefined {
        const kept = Array.from({ length: this.spec.memberCount }, (_, rank) => {
            const vm = entry.members[rank] ?? "";
            return this.canStay(vm) ? vm : "";
        });
        const { place } = this.input;
        return replaceMembers({ kept, homeDomain: this.homeDomain(kept), free: this.freeVms(), place });
    }

    /** True while another group of the model is not in service, so that this one has to wait its turn. */
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

    /** Whether a member's engine has seen a fencing number past the group's epoch. */
    private isOutrun(entry: Formation): boolean {
        const seen = entry.members.flatMap(vm => [this.input.highestFence(vm), this.facts(vm).report?.epoch ?? 0]);
        const highest = Math.max(0, ...seen);
        if (highest > entry.epoch) {
            this.draft.raiseEpoch(highest);
        }
        return highest > entry.epoch;
    }

    /** Whether a member's name now stands for a VM at another address than the load orders named. */
    private isMoved(formation: Formation): boolean {
        return formation.memberUrls?.some((url, rank) => url !== this.urlOf(formation.members[rank] ?? "")) ?? false;
    }

    /** Whether a member itself says that it is not in service. The want of evidence alone does not say so. */
    private isSurelyDown(entry: Formation): boolean {
        return entry.members.some(vm => this.facts(vm).report !== undefined && !this.isReadyAt(vm, entry.epoch));
    }

    private isComplete(entry: Formation): boolean {
        return entry.members.every(vm => vm !== "" && !this.facts(vm).lost);
    }

    private isSound(vm: string): boolean {
        return vm !== "" && this.draft.ledger.claims[vm]?.state === "held" && !this.facts(vm).lost;
    }

    private canStay(vm: string): boolean {
        const facts = this.facts(vm);
        return this.draft.ledger.claims[vm]?.group === this.group && !facts.lost && !facts.departure;
    }

    private isReadyAt(vm: string, epoch: number): boolean {
        const report = this.facts(vm).report;
        return report?.group === this.group && report.epoch === epoch && report.phase === "ready";
    }

    private homeDomain(members: readonly string[]): string {
        const counts = new Map<string, number>();
        members.filter(vm => vm !== "").map(vm => this.domainOf(vm)).forEach(domain =>
            counts.set(domain, (counts.get(domain) ?? 0) + 1)
        );
        return [...counts].sort((left, right) => right[1] - left[1])[0]?.[0] ?? "";
    }

    private planned(members: readonly string[]): Omit<Formation, "epoch"> {
        const domains = new Set(members.map(vm => this.domainOf(vm)));
        return {
            modelVersion: this.spec.modelVersion,
            fabricDomain: [...domains].sort().join("+"),
            members: [...members],
            memberUrls: members.map(vm => this.urlOf(vm)),
        };
    }

    /** VMs that can be claimed now. One that this draft frees can be claimed by a later draft. */
    private freeVms(): ReturnType<PlanInput["fleet"]["free"]> {
        return this.input.fleet.free(this.draft.ledger).filter(vm => !this.input.ledger.claims[vm.name]);
    }

    private urlOf(vm: string): string {
        const { record } = this.facts(vm);
        return record ? engineUrl(record) : "";
    }

    private domainOf(vm: string): string {
        return this.facts(vm).record?.fabricDomain ?? "";
    }

    private facts(vm: string): VmFacts {
        return this.input.fleet.get(vm);
    }
}
