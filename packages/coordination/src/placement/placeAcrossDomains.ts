import type { FreeVm } from "./FreeVm.js";
import { groupByDomain } from "./groupByDomain.js";
import type { Placement } from "./Placement.js";

/** Spreads a group over as few fabric domains as possible; undefined when there are too few VMs in all. */
export function placeAcrossDomains(free: readonly FreeVm[], count: number): Placement | undefined {
    if (free.length < count) {
        return undefined;
    }
    const roomiestFirst = groupByDomain(free).sort((left, right) => right.vms.length - left.vms.length);
    const members = roomiestFirst.flatMap(domain => domain.vms).slice(0, count);
    const used = roomiestFirst.filter(domain => domain.vms.some(vm => members.includes(vm)));
    return {
        members,
        fabricDomain: used.map(domain => domain.name).sort().join("+"),
        inOneDomain: used.length <= 1,
    };
}
