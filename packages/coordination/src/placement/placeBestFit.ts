import type { FreeVm } from "./FreeVm.js";
import { groupByDomain } from "./groupByDomain.js";
import { placeAcrossDomains } from "./placeAcrossDomains.js";
import type { Placement } from "./Placement.js";

/**
 * Puts a group into the fabric domain that has the least room left beside it, which leaves the other domains whole.
 * Spans domains only when none has room.
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
