import type { ObjectStore, Revision } from "@fescuehaven/platform";
import type { ClaimLayout } from "./ClaimLayout.js";

/** Attempts at a claim before it fails. */
const MAX_ATTEMPTS = 20;

const KIND = "vm-claim";

interface VmClaim {
    group: string;
}

/**
 * Stores each VM's claim in its own object: the baseline for `LedgerClaims`. If a group cannot claim all its VMs, the
 * claims that succeeded are undone one by one, as in a saga.
 */
export class VmObjectClaims implements ClaimLayout {
    private readonly known = new Map<string, { group: string; revision: Revision; }>();

    private constructor(private readonly store: ObjectStore, private readonly vms: readonly string[]) {}

    /** Creates the layout for a zone with these VMs. */
    static create(options: { store: ObjectStore; vms: readonly string[]; }): VmObjectClaims {
        return new VmObjectClaims(options.store, options.vms);
    }

    /** Writes all members' objects concurrently; undoes the successful writes if another controller has one of them. */
    async claim(group: string, count: number): Promise<boolean> {
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            const members = this.vms.filter(vm => (this.known.get(vm)?.group ?? "") === "").slice(0, count);
            if (members.length < count) {
                return false;
            }
            const claimed = await Promise.all(members.map(vm => this.write(vm, group)));
            if (claimed.every(isClaimed => isClaimed)) {
                return true;
            }
            const toRelease = members.filter((_, index) => claimed[index]);
            await Promise.all(toRelease.map(vm => this.write(vm, "")));
            await this.refresh();
        }
        return false;
    }

    /** Reads the claimed VMs of each group from the objects. */
    async claimedVms(): Promise<Map<string, string[]>> {
        await this.refresh();
        const groups = new Map<string, string[]>();
        for (const [vm, { group }] of this.known) {
            if (group !== "") {
                groups.set(group, [...groups.get(group) ?? [], vm]);
            }
        }
        return groups;
    }

    private async write(vm: string, group: string): Promise<boolean> {
        const value: VmClaim = { group };
        const expected = this.known.get(vm)?.revision ?? 0;
        const outcome = await this.store.write({ kind: KIND, name: vm }, value, expected, "claim");
        if (outcome.kind === "committed") {
            this.known.set(vm, { group, revision: outcome.revision });
        }
        return outcome.kind === "committed";
    }

    private async refresh(): Promise<void> {
        const listed = await this.store.list([KIND], "claim");
        if (listed.kind === "listed") {
            listed.objects.forEach(({ name, revision, value }) =>
                this.known.set(name, { group: (value as VmClaim).group, revision })
            );
        }
    }
}
