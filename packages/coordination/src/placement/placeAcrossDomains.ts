import type { FreeVm } from "./FreeVm.js";
import { groupByDomain } from "./groupByDomain.js";
import type { Placement } from "./Placement.js";

/** Places a group in as few fabric domains as possible; returns undefined if there are too few VMs in total. */
export function placeAcrossDomains(free: readonly FreeVm[], count: number): Placement | undefined {
    if (free.length < count) {
        return undefined;
    }
    const largestFirst = groupByDomain(free).sort((left, right) => right.vms.length - left.vms.length);
    const members = largestFirst.flatMap(domain => domain.vms).slice(0, count);
    const used = largestFirst.filter(domain => domain.vms.some(vm => members.includes(vm)));
    return {
        members,
        fabricDomain: used.map(domain => domain.name).sort().join("+"),
        inOneDomain: used.length <= 1,
    };
}
