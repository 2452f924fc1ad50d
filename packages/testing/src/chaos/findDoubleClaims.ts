import type { ZoneLedger } from "@fescuehaven/resources";

/** Returns a ledger's violations: VMs in two groups or twice in one, and members without the matching claim. */
export function findDoubleClaims(ledger: ZoneLedger): string[] {
    const violations: string[] = [];
    const groupOf = new Map<string, string>();
    for (const [group, { next, ...current }] of Object.entries(ledger.groups)) {
        for (const { epoch, members } of next ? [current, next] : [current]) {
            const present = members.filter(vm => vm !== "");
            if (new Set(present).size < present.length) {
                violations.push(`${group} epoch ${epoch} has a VM twice: ${members.join(", ")}.`);
            }
            for (const vm of present) {
                const other = groupOf.get(vm) ?? group;
                if (other !== group) {
                    violations.push(`${vm} is in ${other} and in ${group} epoch ${epoch}.`);
                }
                groupOf.set(vm, group);
                const violation = findClaimViolation(ledger, group, vm, members.indexOf(vm));
                if (violation) {
                    violations.push(violation);
                }
            }
        }
    }
    return violations;
}

/** A member that stays for the next formation keeps the claim of the current formation until the change. */
function findClaimViolation(ledger: ZoneLedger, group: string, vm: string, rank: number): string | undefined {
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
