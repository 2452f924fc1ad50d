import { chooseSpares } from "./chooseSpares.js";
import type { FreeVm } from "./FreeVm.js";
import { placeAcrossDomains } from "./placeAcrossDomains.js";
import type { PlacementPolicy } from "./PlacementPolicy.js";

interface ReplacementOptions {
    /** VM names of the remaining members by rank; empty where a member has to be replaced. */
    kept: readonly string[];
    /** Fabric domain of the remaining members. */
    homeDomain: string;
    free: readonly FreeVm[];
    /** Places the whole group if its domain has too few spares. */
    place: PlacementPolicy;
}

/**
 * Replaces the missing members of a group with spares of its fabric domain, so that only the spares have to load. If
 * there are too few, moves the whole group to another domain; if none has room, uses spares of other domains. Returns
 * undefined if there are too few free VMs.
 */
export function replaceMembers({ free, homeDomain, kept, place }: ReplacementOptions): string[] | undefined {
    const gaps = kept.filter(vm => vm === "").length;
    const spares = gaps === 0 ? [] : chooseSpares(free, gaps, homeDomain);
    if (spares) {
        return fillGaps(kept, spares);
    }
    const relocated = place(free, kept.length);
    if (relocated?.inOneDomain) {
        return relocated.members;
    }
    const otherDomainSpares = placeAcrossDomains(free, gaps);
    return otherDomainSpares && fillGaps(kept, otherDomainSpares.members);
}

function fillGaps(members: readonly string[], spares: readonly string[]): string[] {
    const remaining = [...spares];
    return members.map(vm => vm === "" ? remaining.shift() ?? "" : vm);
}
