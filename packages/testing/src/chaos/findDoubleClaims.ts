import type { ZoneLedger } from "@fescuehaven/resources";

/** Says what a ledger has wrong: VMs in two formations, and members whose claim is not the formation's. */
export function findDoubleClaims(ledger: ZoneLedger): string[] {
    const faults: string[] = [];
    const places = new Map<string, string>();
    for (const [group, { next, ...formation }] of Object.entries(ledger.groups)) {
        for (const { epoch, members } of next ? [formation, next] : [formation]) {
            members.forEach((vm, rank) => {
                if (vm === "") {
                    return;
                }
                const place = `${group} epoch ${epoch}`;
                const other = places.get(vm);
                if (other !== undefined) {
                    faults.push(`${vm} is in ${other} and in ${place}.`);
                }
                places.set(vm, place);
                const claim = ledger.claims[vm];
                if (claim?.group !== group || (claim.state === "held" && !isOf(claim, epoch, rank))) {
                    faults.push(`${vm} is rank ${rank} of ${place}, but its claim is ${JSON.stringify(claim)}.`);
                }
            });
        }
    }
    return faults;
}

/** A claim that is given up has a fencing number of its own. */
function isOf(claim: ZoneLedger["claims"][string], epoch: number, rank: number): boolean {
    return claim.epoch === epoch && claim.rank === rank;
}
