/** Cost of one way of storing the records of keys at one rate of calls. */
export interface JournalMeasurement {
    policy: string;
    /** Rate of keyed calls that were sent. */
    callsPerSecond: number;
    served: number;
    refused: number;
    /** Rate of updates that reached the platform. */
    writesPerSecond: number;
    writesPerCall: number;
    /** Latency added before the call is sent. */
    claimMs: { p50: number; p99: number; };
    /** Latency added until the response is recorded. */
    finishMs: { p50: number; p99: number; };
}
