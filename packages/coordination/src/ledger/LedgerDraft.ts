import type { ZoneLedger } from "@fescuehaven/resources";
import type { Formation } from "./Formation.js";

/** A formation that has no epoch yet. */
type PlannedFormation = Omit<Formation, "epoch">;

/**
 * A copy of the ledger that a controller edits and then commits whole. Every claim and every release takes a fresh
 * epoch, so that an engine which obeys fencing refuses all earlier orders.
 */
export class LedgerDraft {
    /** True once anything was edited. */
    changed = false;

    private constructor(
        /** The ledger as edited so far. */
        readonly ledger: ZoneLedger,
    ) {}

    /** Starts a draft from `ledger`, which stays as it is. */
    static create(ledger: ZoneLedger): LedgerDraft {
        return new LedgerDraft(structuredClone(ledger));
    }

    /** Lets the next epoch be higher than `epoch`, which an engine has seen. */
    raiseEpoch(epoch: number): void {
        if (epoch > this.ledger.lastEpoch) {
            this.ledger.lastEpoch = epoch;
            this.changed = true;
        }
    }

    /** Makes `planned` the group's formation at once. Former members that it leaves out begin to be released. */
    form(group: string, planned: PlannedFormation): void {
        this.abandonNext(group);
        const before = this.ledger.groups[group]?.members ?? [];
        const formation = { ...planned, epoch: this.takeEpoch() };
        this.ledger.groups[group] = formation;
        formation.members.forEach((vm, rank) => this.hold(group, formation.epoch, vm, rank));
        before.filter(vm => vm !== "" && !formation.members.includes(vm)).forEach(vm => this.release(vm));
    }

    /** Lets `planned` load beside the formation in service. Only members that are new to the group are claimed. */
    prepareNext(group: string, planned: PlannedFormation): void {
        const entry = this.ledger.groups[group];
        if (!entry) {
            return;
        }
        const next = { ...planned, epoch: this.takeEpoch() };
        entry.next = next;
        next.members.forEach((vm, rank) => {
            if (!entry.members.includes(vm)) {
                this.hold(group, next.epoch, vm, rank);
            }
        });
    }

    /** Puts the prepared formation in the place of the one in service, at the epoch that its new members loaded at. */
    adoptNext(group: string): void {
        const entry = this.ledger.groups[group];
        const next = entry?.next;
        if (!entry || !next) {
            return;
        }
        this.ledger.groups[group] = next;
        next.members.forEach((vm, rank) => this.hold(group, next.epoch, vm, rank));
        entry.members.filter(vm => vm !== "" && !next.members.includes(vm)).forEach(vm => this.release(vm));
        this.changed = true;
    }

    /** Gives the prepared formation up and releases the members that were new to the group. */
    abandonNext(group: string): void {
        const entry = this.ledger.groups[group];
        const next = entry?.next;
        if (!entry || !next) {
            return;
        }
        delete entry.next;
        next.members.filter(vm => !entry.members.includes(vm)).forEach(vm => this.release(vm));
        this.changed = true;
    }

    /** Begins to release a VM: its group takes no further requests, and it is to be unloaded at a fresh epoch. */
    release(vm: string): void {
        const claim = this.ledger.claims[vm];
        if (claim?.state === "held") {
            claim.state = "releasing";
            claim.epoch = this.takeEpoch();
        }
    }

    /** Frees a VM whose member was seen unloaded. Its place in the group stays empty. */
    free(vm: string): void {
        const claim = this.ledger.claims[vm];
        const entry = claim && this.ledger.groups[claim.group];
        if (entry) {
            entry.members = entry.members.map(member => member === vm ? "" : member);
        }
        delete this.ledger.claims[vm];
        this.changed = true;
    }

    /** Removes a group that has no claim left. */
    removeGroup(group: string): void {
        delete this.ledger.groups[group];
        this.changed = true;
    }

    private hold(group: string, epoch: number, vm: string, rank: number): void {
        this.ledger.claims[vm] = { group, epoch, rank, state: "held" };
        this.changed = true;
    }

    private takeEpoch(): number {
        this.ledger.lastEpoch += 1;
        this.changed = true;
        return this.ledger.lastEpoch;
    }
}
