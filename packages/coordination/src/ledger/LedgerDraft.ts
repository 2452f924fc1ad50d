import type { ZoneLedger } from "@fescuehaven/resources";
import type { Formation } from "./Formation.js";

/** A formation to which no epoch has been assigned yet. */
type PlannedFormation = Omit<Formation, "epoch">;

/**
 * A copy of the ledger that a controller edits and then commits in one update. Every claim and every release gets a
 * new epoch, so that an engine that obeys fencing refuses all earlier orders.
 */
export class LedgerDraft {
    /** True after the first edit. */
    changed = false;

    private constructor(
        /** The ledger with all edits so far. */
        readonly ledger: ZoneLedger,
    ) {}

    /** Creates a draft from a copy of `ledger`. */
    static create(ledger: ZoneLedger): LedgerDraft {
        return new LedgerDraft(structuredClone(ledger));
    }

    /** Makes the next epoch higher than `epoch`, which an engine has already seen. */
    raiseEpoch(epoch: number): void {
        if (epoch > this.ledger.lastEpoch) {
            this.ledger.lastEpoch = epoch;
            this.changed = true;
        }
    }

    /**
     * Makes `planned` the group's formation immediately and starts releasing former members that are not part of it.
     */
    form(group: string, planned: PlannedFormation): void {
        this.abandonNext(group);
        const before = this.ledger.groups[group]?.members ?? [];
        const formation = { ...planned, epoch: this.allocateEpoch() };
        this.ledger.groups[group] = formation;
        formation.members.forEach((vm, rank) => this.hold(group, formation.epoch, vm, rank));
        before.filter(vm => vm !== "" && !formation.members.includes(vm)).forEach(vm => this.release(vm));
    }

    /**
     * Sets `planned` as the next formation, which loads while the current one serves. Claims only members new to the
     * group.
     */
    prepareNext(group: string, planned: PlannedFormation): void {
        const entry = this.ledger.groups[group];
        if (!entry) {
            return;
        }
        const next = { ...planned, epoch: this.allocateEpoch() };
        entry.next = next;
        next.members.forEach((vm, rank) => {
            if (!entry.members.includes(vm)) {
                this.hold(group, next.epoch, vm, rank);
            }
        });
    }

    /** Replaces the current formation with the next one, at the epoch at which its new members loaded. */
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

    /** Drops the next formation and releases the members that were new to the group. */
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

    /** Starts releasing a VM: its group accepts no further requests, and the VM has to be unloaded at a new epoch. */
    release(vm: string): void {
        const claim = this.ledger.claims[vm];
        if (claim?.state === "held") {
            claim.state = "releasing";
            claim.epoch = this.allocateEpoch();
        }
    }

    /** Removes the claim on a VM that was observed unloaded. Its rank in the group stays empty. */
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

    private allocateEpoch(): number {
        this.ledger.lastEpoch += 1;
        this.changed = true;
        return this.ledger.lastEpoch;
    }
}
