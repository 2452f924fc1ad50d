import { type FreeVm, placeBestFit, placeFirstFit, replaceMembers } from "@fescuehaven/coordination";
import type { SparePolicy } from "./SparePolicy.js";

/** The policy of the product first, then the baselines. */
export const sparePolicies: readonly SparePolicy[] = [
    {
        name: "best fit, spare from the same domain, reunited later",
        place: placeBestFit,
        reunites: true,
        mend: (kept, homeDomain, free) => replaceMembers({ kept, homeDomain, free, place: placeBestFit }),
    },
    {
        name: "best fit, spare from the same domain",
        place: placeBestFit,
        reunites: false,
        mend: (kept, homeDomain, free) => replaceMembers({ kept, homeDomain, free, place: placeBestFit }),
    },
    {
        name: "first fit, spare from the same domain, reunited later",
        place: placeFirstFit,
        reunites: true,
        mend: (kept, homeDomain, free) => replaceMembers({ kept, homeDomain, free, place: placeFirstFit }),
    },
    {
        name: "best fit, whole group anew",
        place: placeBestFit,
        reunites: false,
        mend: placeWholeAnew,
    },
    { name: "best fit, wait for the member", place: placeBestFit, reunites: false, mend: () => undefined },
];

function placeWholeAnew(kept: readonly string[], homeDomain: string, free: readonly FreeVm[]): string[] | undefined {
    const own = kept.filter(vm => vm !== "").map(name => ({ name, fabricDomain: homeDomain }));
    return placeBestFit([...free, ...own], kept.length)?.members;
}
