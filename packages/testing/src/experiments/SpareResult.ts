/** Result of a policy in `simulateSpares`. */
export interface SpareResult {
    policy: string;
    /** Share of the groups' total time during which they were not ready. */
    downtimeShare: number;
    /** Mean number of accelerators that were held by groups not ready, or were free while a group had no VMs. */
    strandedAccelerators: number;
    /** Share of the groups' time in service during which they spanned fabric domains. */
    spanningShare: number;
    /** Number of times that a member loaded weights. */
    loads: number;
}
