import type { FreeVm } from "./FreeVm.js";
import { groupByDomain } from "./groupByDomain.js";
import { placeAcrossDomains } from "./placeAcrossDomains.js";
import type { Placement } from "./Placement.js";

/** Places a group in the first fabric domain, by name, with enough free VMs. The baseline for `placeBestFit`. */
export function placeFirstFit(free: readonly FreeVm[], count: number): Placement | undefined {
    const first = groupByDomain(free).find(domain => domain.vms.length >= count);
    if (!first) {
        return placeAcrossDomains(free, count);
    }
    return { members: first.vms.slice(0, count), fabricDomain: first.name, inOneDomain: true };
}
