/** Cost of the exchange of digests in one simulated run. */
export interface DigestCost {
    processes: number;
    objects: number;
    /** Calls that each process makes without any change of configuration; on average it answers as many. */
    callsPerProcessPerSecond: number;
    /** Message bytes, without framing, that each process sends without any change of configuration. */
    bytesPerProcessPerSecond: number;
    /** Message bytes, without framing, that each process sends on average because of one change. */
    bytesPerProcessPerChange: number;
    /** Time from a change that only one process reads from the platform until it is active in all processes. */
    spreadMs: number;
}
