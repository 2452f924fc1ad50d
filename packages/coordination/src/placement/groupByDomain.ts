import type { FreeVm } from "./FreeVm.js";

/** Groups VMs by fabric domain. The domains, and the VM names in each, are sorted by name. */
export function groupByDomain(free: readonly FreeVm[]): Array<{ name: string; vms: string[]; }> {
    const domains = new Map<string, string[]>();
    for (const vm of free) {
        domains.set(vm.fabricDomain, [...domains.get(vm.fabricDomain) ?? [], vm.name]);
    }
    return [...domains]
        .map(([name, vms]) => ({ name, vms: vms.sort() }))
        .sort((left, right) => left.name < right.name ? -1 : 1);
}
