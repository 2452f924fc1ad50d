/** What one way of keeping records of keys cost at one rate of calls. */
export interface JournalMeasurement {
    policy: string;
    /** Keyed calls offered. */
    callsPerSecond: number;
    served: number;
    refused: number;
    /** Updates that reached the platform. */
    writesPerSecond: number;
    writesPerCall: number;
    /** Added before the call is sent. */
    claimMs: { p50: number; p99: number; };
    /** Added before the answer is recorded. */
    finishMs: { p50: number; p99: number; };
}
