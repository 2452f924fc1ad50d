import type { FreeVm, PlacementPolicy } from "@fescuehaven/coordination";

/** How a simulated zone places groups and replaces lost members. */
export interface SparePolicy {
    name: string;
    place: PlacementPolicy;
    /** Whether a group that spans fabric domains moves into one domain when enough VMs are free there. */
    consolidates: boolean;
    /**
     * Returns the new members by rank of a group that has lost members, or undefined to wait. Lost members have empty
     * names in `kept`.
     */
    replaceLost: (kept: readonly string[], homeDomain: string, free: readonly FreeVm[]) => string[] | undefined;
}
