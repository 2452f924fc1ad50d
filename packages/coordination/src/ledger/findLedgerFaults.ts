import type { ZoneLedger } from "@fescuehaven/resources";

type GroupEntry = ZoneLedger["groups"][string];

/** Lists the invariants that a ledger breaks: above all, that no VM belongs to two groups. */
export function findLedgerFaults(ledger: ZoneLedger): string[] {
    return [...findSharedVms(ledger), ...findStrayClaims(ledger), ...findEpochFaults(ledger)];
}

function findSharedVms(ledger: ZoneLedger): string[] {
    const owners = new Map<string, string>();
    const faults: string[] = [];
    for (const [group, entry] of Object.entries(ledger.groups)) {
        for (const vm of membersOf(entry)) {
            const owner = owners.get(vm) ?? ledger.claims[vm]?.group;
            if (owner !== group) {
                faults.push(`VM ${vm} is a member of ${group} but claimed by ${owner ?? "no group"}`);
            }
            owners.set(vm, group);
        }
    }
    return faults;
}

function findStrayClaims(ledger: ZoneLedger): string[] {
    return Object.entries(ledger.claims)
        .filter(([vm, claim]) => claim.state === "held" && !isPlaced(ledger.groups[claim.group], vm, claim))
        .map(([vm, claim]) => `VM ${vm} is held by ${claim.group}, which has no such member at epoch ${claim.epoch}`);
}

function findEpochFaults(ledger: ZoneLedger): string[] {
    return Object.entries(ledger.claims)
        .filter(([, claim]) => claim.epoch > ledger.lastEpoch)
        .map(([vm, claim]) => `VM ${vm} is claimed at epoch ${claim.epoch}, past ${ledger.lastEpoch}`);
}

function isPlaced(entry: GroupEntry | undefined, vm: string, claim: ZoneLedger["claims"][string]): boolean {
    return [entry, entry?.next].some(formation =>
        formation?.members[claim.rank] === vm && formation.epoch === claim.epoch
    );
}

function membersOf(entry: GroupEntry): Set<string> {
    return new Set([...entry.members, ...entry.next?.members ?? []].filter(vm => vm !== ""));
}
