import type { ZoneLedger } from "@fescuehaven/resources";

/** Says what a ledger has wrong: VMs in two groups or twice in one, and members whose claim is another one's. */
export function findDoubleClaims(ledger: ZoneLedger): string[] {
    const faults: string[] = [];
    const groupOf = new Map<string, string>();
    for (const [group, { next, ...current }] of Object.entries(ledger.groups)) {
        for (const { epoch, members } of next ? [current, next] : [current]) {
            const present = members.filter(vm => vm !== "");
            if (new Set(present).size < present.length) {
                faults.push(`${group} epoch ${epoch} has a VM twice: ${members.join(", ")}.`);
            }
            for (const vm of present) {
                const other = groupOf.get(vm) ?? group;
                if (other !== group) {
                    faults.push(`${vm} is in ${other} and in ${group} epoch ${epoch}.`);
                }
                groupOf.set(vm, group);
                const fault = claimFault(ledger, group, vm, members.indexOf(vm));
                if (fault) {
                    faults.push(fault);
                }
            }
        }
    }
    return faults;
}

/** A member that a group keeps for its next formation has the claim of the present one until the change. */
function claimFault(ledger: ZoneLedger, group: string, vm: string, rank: number): string | undefined {
    const claim = ledger.claims[vm];
    const formation = ledger.groups[group];
    const epochs = [formation?.epoch, formation?.next?.epoch];
    const isMember = claim?.group === group && (claim.state === "releasing" || epochs.includes(claim.epoch));
    const hasRank = claim?.state === "releasing" || claim?.rank === rank;
    return isMember && hasRank
        ? undefined
        : `${vm} is rank ${rank} of ${group} at epochs ${epochs.join(", ")}, but its claim is ${
            JSON.stringify(claim)
        }.`;
}
