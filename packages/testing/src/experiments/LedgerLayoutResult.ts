/** What one layout of the claims cost in `compareLedgerLayouts`. */
export interface LedgerLayoutResult {
    layout: string;
    /** Writes to the platform for each group that was claimed. */
    writesPerGroup: number;
    /** Writes refused because another controller came first, for each group that was claimed. */
    conflictsPerGroup: number;
    /** Time from the start of a claim to its end, ms of the platform's delay. */
    claimMs: number;
    /** VMs left claimed by a group that is not whole, over all kills of a controller at one of its writes. */
    leftoverVmsPerKill: number;
    /** Share of the kills that left such VMs. */
    killsWithLeftovers: number;
}
