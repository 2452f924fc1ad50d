import type { FreeVm } from "./FreeVm.js";
import type { PlacementPolicy } from "./PlacementPolicy.js";

interface ConsolidationOptions {
    /** Members by rank, in several fabric domains. */
    members: readonly FreeVm[];
    free: readonly FreeVm[];
    place: PlacementPolicy;
}

/**
 * Chooses members in one fabric domain for a group that spans several. Prefers the domain in which the most members
 * keep their rank, then a domain with enough free VMs for the whole group. Returns undefined if no domain has enough.
 */
export function consolidateMembers({ free, members, place }: ConsolidationOptions): string[] | undefined {
    const pool = [...members, ...free];
    const domains = [...new Set(members.map(vm => vm.fabricDomain))]
        .sort((left, right) => countIn(members, right) - countIn(members, left));
    const target = domains.find(domain => countIn(pool, domain) >= members.length);
    if (target !== undefined) {
        return fillFrom(members, pool.filter(vm => vm.fabricDomain === target));
    }
    const elsewhere = place(free, members.length);
    return elsewhere?.inOneDomain ? elsewhere.members : undefined;
}

/** Keeps every member that is in the pool and fills the other ranks with the rest of the pool. */
function fillFrom(members: readonly FreeVm[], pool: readonly FreeVm[]): string[] {
    const names = new Set(pool.map(vm => vm.name));
    const current = new Set(members.map(vm => vm.name));
    const spares = [...names].filter(name => !current.has(name)).sort();
    return members.map(vm => names.has(vm.name) ? vm.name : spares.shift() ?? "");
}

function countIn(vms: readonly FreeVm[], fabricDomain: string): number {
    return vms.filter(vm => vm.fabricDomain === fabricDomain).length;
}
