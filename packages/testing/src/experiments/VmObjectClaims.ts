import type { ObjectStore, Revision } from "@fescuehaven/platform";
import type { ClaimLayout } from "./ClaimLayout.js";

/** Attempts at a claim before it is given up. */
const ATTEMPTS = 20;

const KIND = "vm-claim";

interface VmClaim {
    group: string;
}

/** One object for each VM: the baseline for `LedgerClaims`. Claims in vain are undone one by one, as in a saga. */
export class VmObjectClaims implements ClaimLayout {
    private readonly seen = new Map<string, { group: string; revision: Revision; }>();

    private constructor(private readonly store: ObjectStore, private readonly vms: readonly string[]) {}

    /** Creates the layout over `vms`. */
    static create(options: { store: ObjectStore; vms: readonly string[]; }): VmObjectClaims {
        return new VmObjectClaims(options.store, options.vms);
    }

    /** Writes all members' objects at once; undoes what it got if another controller has one of them. */
    async claim(group: string, count: number): Promise<boolean> {
        for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
            const members = this.vms.filter(vm => (this.seen.get(vm)?.group ?? "") === "").slice(0, count);
            if (members.length < count) {
                return false;
            }
            const taken = await Promise.all(members.map(vm => this.write(vm, group)));
            if (taken.every(isTaken => isTaken)) {
                return true;
            }
            const undone = members.filter((_, index) => taken[index]);
            await Promise.all(undone.map(vm => this.write(vm, "")));
            await this.refresh();
        }
        return false;
    }

    /** VMs by group. */
    async claimedVms(): Promise<Map<string, string[]>> {
        await this.refresh();
        const groups = new Map<string, string[]>();
        for (const [vm, { group }] of this.seen) {
            if (group !== "") {
                groups.set(group, [...groups.get(group) ?? [], vm]);
            }
        }
        return groups;
    }

    private async write(vm: string, group: string): Promise<boolean> {
        const value: VmClaim = { group };
        const expected = this.seen.get(vm)?.revision ?? 0;
        const outcome = await this.store.write({ kind: KIND, name: vm }, value, expected, "claim");
        if (outcome.kind === "committed") {
            this.seen.set(vm, { group, revision: outcome.revision });
        }
        return outcome.kind === "committed";
    }

    private async refresh(): Promise<void> {
        const listed = await this.store.list([KIND], "claim");
        if (listed.kind === "listed") {
            listed.objects.forEach(({ name, revision, value }) =>
                this.seen.set(name, { group: (value as VmClaim).group, revision })
            );
        }
    }
}
