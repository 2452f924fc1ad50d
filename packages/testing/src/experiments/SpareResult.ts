/** What a policy came to in `simulateSpares`. */
export interface SpareResult {
    policy: string;
    /** Share of the groups' time in which they were out of service. */
    downtimeShare: number;
    /** Accelerators, on average, that a group without service held or that lay free while a group had no VMs. */
    strandedAccelerators: number;
    /** Share of the groups' time in service in which they spanned fabric domains. */
    spanningShare: number;
    /** Members that loaded weights. */
    loads: number;
}
