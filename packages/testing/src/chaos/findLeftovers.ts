import type { MemberReport } from "@fescuehaven/coordination";
import type { ZoneLedger } from "@fescuehaven/resources";

/** Returns the next formations that a ledger still has, and the VMs whose claim and engine report differ. */
export function findLeftovers(ledger: ZoneLedger, reports: readonly MemberReport[]): string[] {
    const leftovers: string[] = [];
    for (const [group, { next }] of Object.entries(ledger.groups)) {
        if (next) {
            leftovers.push(`${group} still has a next formation at epoch ${next.epoch}.`);
        }
    }
    for (const { vm, group, epoch, rank, phase } of reports) {
        const claim = ledger.claims[vm];
        const claimed = claim ? `${claim.state} ${claim.group} epoch ${claim.epoch} rank ${claim.rank}` : "empty";
        const reported = group ? `held ${group} epoch ${epoch} rank ${rank}` : "empty";
        if (claimed !== reported) {
            leftovers.push(`${vm} is ${claimed} in the ledger and reports ${reported} (${phase}).`);
        }
    }
    return leftovers;
}
