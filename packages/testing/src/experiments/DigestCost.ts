/** What the exchange of digests costs, from one simulated run. */
export interface DigestCost {
    processes: number;
    objects: number;
    /** Calls that each process makes in quiet, a second; it answers as many on average. */
    callsPerProcessPerSecond: number;
    /** Size of what each process sends in quiet, without framing, bytes a second. */
    bytesPerProcessPerSecond: number;
    /** Size that one change makes each process send, without framing, bytes. */
    bytesPerProcessPerChange: number;
    /** From a change that one process alone sees until it is in force in all, ms. */
    spreadMs: number;
}
