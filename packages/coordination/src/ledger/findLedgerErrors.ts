import type { ZoneLedger } from "@fescuehaven/resources";

type GroupEntry = ZoneLedger["groups"][string];

/** Describes each violated invariant of a ledger; the most important one is that no VM belongs to two groups. */
export function findLedgerErrors(ledger: ZoneLedger): string[] {
    return [...findSharedVms(ledger), ...findOrphanedClaims(ledger), ...findEpochErrors(ledger)];
}

function findSharedVms(ledger: ZoneLedger): string[] {
    const owners = new Map<string, string>();
    const errors: string[] = [];
    for (const [group, entry] of Object.entries(ledger.groups)) {
        for (const vm of membersOf(entry)) {
            const owner = owners.get(vm) ?? ledger.claims[vm]?.group;
            if (owner !== group) {
                errors.push(`VM ${vm} is a member of ${group} but claimed by ${owner ?? "no group"}`);
            }
            owners.set(vm, group);
        }
    }
    return errors;
}

function findOrphanedClaims(ledger: ZoneLedger): string[] {
    return Object.entries(ledger.claims)
        .filter(([vm, claim]) => claim.state === "held" && !isMember(ledger.groups[claim.group], vm, claim))
        .map(([vm, claim]) => `VM ${vm} is held by ${claim.group}, which has no such member at epoch ${claim.epoch}`);
}

function findEpochErrors(ledger: ZoneLedger): string[] {
    return Object.entries(ledger.claims)
        .filter(([, claim]) => claim.epoch > ledger.lastEpoch)
        .map(([vm, claim]) => `VM ${vm} is claimed at epoch ${claim.epoch}, past ${ledger.lastEpoch}`);
}

function isMember(entry: GroupEntry | undefined, vm: string, claim: ZoneLedger["claims"][string]): boolean {
    return [entry, entry?.next].some(formation =>
        formation?.members[claim.rank] === vm && formation.epoch === claim.epoch
    );
}

function membersOf(entry: GroupEntry): Set<string> {
    return new Set([...entry.members, ...entry.next?.members ?? []].filter(vm => vm !== ""));
}
