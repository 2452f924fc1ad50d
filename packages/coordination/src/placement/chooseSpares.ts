import type { FreeVm } from "./FreeVm.js";

/**
 * Chooses `count` spares from the given fabric domain; undefined when it has too few. Across domains, use
 * `placeAcrossDomains` with the count of spares.
 */
export function chooseSpares(free: readonly FreeVm[], count: number, fabricDomain: string): string[] | undefined {
    const names = free.filter(vm => vm.fabricDomain === fabricDomain).map(vm => vm.name).sort();
    return names.length >= count ? names.slice(0, count) : undefined;
}
