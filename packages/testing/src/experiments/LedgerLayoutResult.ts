/** Cost of one layout of the claims in `compareLedgerLayouts`. */
export interface LedgerLayoutResult {
    layout: string;
    /** Writes to the platform per claimed group. */
    writesPerGroup: number;
    /** Writes per claimed group that were refused because another controller had written first. */
    conflictsPerGroup: number;
    /** Mean duration of a claim, given the simulated latency of the platform. */
    claimMs: number;
    /** Mean number of VMs left claimed by an incomplete group after the controller is killed at one of its writes. */
    leftoverVmsPerKill: number;
    /** Share of the kills that leave such VMs. */
    killsWithLeftovers: number;
}
