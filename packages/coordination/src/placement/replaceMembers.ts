import { chooseSpares } from "./chooseSpares.js";
import type { FreeVm } from "./FreeVm.js";
import { placeAcrossDomains } from "./placeAcrossDomains.js";
import type { PlacementPolicy } from "./PlacementPolicy.js";

/** What a replacement is chosen from. */
interface ReplacementOptions {
    /** VM names by rank of the members that stay; empty where a member is to be replaced. */
    kept: readonly string[];
    /** Fabric domain of the members that stay. */
    homeDomain: string;
    free: readonly FreeVm[];
    /** Where the whole group goes if its domain has too few spares. */
    place: PlacementPolicy;
}

/**
 * Fills the gaps of a group: with spares of its own fabric domain, so that only they load; else by putting the whole
 * group into another domain; else with spares of other domains. Undefined when there are too few free VMs.
 */
export function replaceMembers({ free, homeDomain, kept, place }: ReplacementOptions): string[] | undefined {
    const gaps = kept.filter(vm => vm === "").length;
    const spares = gaps === 0 ? [] : chooseSpares(free, gaps, homeDomain);
    if (spares) {
        return fillGaps(kept, spares);
    }
    const whole = place(free, kept.length);
    if (whole?.inOneDomain) {
        return whole.members;
    }
    const strangers = placeAcrossDomains(free, gaps);
    return strangers && fillGaps(kept, strangers.members);
}

function fillGaps(members: readonly string[], spares: readonly string[]): string[] {
    const left = [...spares];
    return members.map(vm => vm === "" ? left.shift() ?? "" : vm);
}
