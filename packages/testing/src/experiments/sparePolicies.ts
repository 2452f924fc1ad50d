import { type FreeVm, placeBestFit, placeFirstFit, replaceMembers } from "@fescuehaven/coordination";
import type { SparePolicy } from "./SparePolicy.js";

/** The policy of the product, followed by the baselines. */
export const sparePolicies: readonly SparePolicy[] = [
    {
        name: "best fit, spare from the same domain, reunited later",
        place: placeBestFit,
        consolidates: true,
        replaceLost: (kept, homeDomain, free) => replaceMembers({ kept, homeDomain, free, place: placeBestFit }),
    },
    {
        name: "best fit, spare from the same domain",
        place: placeBestFit,
        consolidates: false,
        replaceLost: (kept, homeDomain, free) => replaceMembers({ kept, homeDomain, free, place: placeBestFit }),
    },
    {
        name: "first fit, spare from the same domain, reunited later",
        place: placeFirstFit,
        consolidates: true,
        replaceLost: (kept, homeDomain, free) => replaceMembers({ kept, homeDomain, free, place: placeFirstFit }),
    },
    {
        name: "best fit, whole group anew",
        place: placeBestFit,
        consolidates: false,
        replaceLost: placeWholeGroup,
    },
    { name: "best fit, wait for the member", place: placeBestFit, consolidates: false, replaceLost: () => undefined },
];

function placeWholeGroup(kept: readonly string[], homeDomain: string, free: readonly FreeVm[]): string[] | undefined {
    const remaining = kept.filter(vm => vm !== "").map(name => ({ name, fabricDomain: homeDomain }));
    return placeBestFit([...free, ...remaining], kept.length)?.members;
}
