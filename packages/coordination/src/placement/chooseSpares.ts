import type { FreeVm } from "./FreeVm.js";

/**
 * Chooses `count` spares from the given fabric domain; returns undefined if it has too few. To choose spares across
 * domains, use `placeAcrossDomains` with the number of spares.
 */
export function chooseSpares(free: readonly FreeVm[], count: number, fabricDomain: string): string[] | undefined {
    const names = free.filter(vm => vm.fabricDomain === fabricDomain).map(vm => vm.name).sort();
    return names.length >= count ? names.slice(0, count) : undefined;
}
