import type { FreeVm, PlacementPolicy } from "@fescuehaven/coordination";

/** How a simulated zone places groups and mends them. */
export interface SparePolicy {
    name: string;
    place: PlacementPolicy;
    /** Whether groups that span fabric domains move into one when there is room. */
    reunites: boolean;
    /** Members by rank of a group that has lost some (empty names); undefined to wait. */
    mend: (kept: readonly string[], homeDomain: string, free: readonly FreeVm[]) => string[] | undefined;
}
