import type { FreeVm } from "./FreeVm.js";
import { groupByDomain } from "./groupByDomain.js";
import { placeAcrossDomains } from "./placeAcrossDomains.js";
import type { Placement } from "./Placement.js";

/**
 * Places a group in the fabric domain with the fewest free VMs among those with enough, which leaves larger domains
 * free. Spans domains only if none has enough free VMs.
 */
export function placeBestFit(free: readonly FreeVm[], count: number): Placement | undefined {
    const fitting = groupByDomain(free)
        .filter(domain => domain.vms.length >= count)
        .sort((left, right) => left.vms.length - right.vms.length);
    const tightest = fitting[0];
    if (!tightest) {
        return placeAcrossDomains(free, count);
    }
    return { members: tightest.vms.slice(0, count), fabricDomain: tightest.name, inOneDomain: true };
}
