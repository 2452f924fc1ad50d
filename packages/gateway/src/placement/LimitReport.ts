/** What an upstream announced last about its limit, as one gateway reports it to another. */
export interface LimitReport {
    /** Id of the upstream. */
    upstream: string;
    /** Start time of the instance, Unix time. */
    startedAtMs: number;
    /** Absent if the instance has withdrawn its limit. */
    requestsPerSecond?: number;
    /** Tells whether two reports mean the same response. */
    id: number;
    /** Time since the response arrived. */
    ageMs: number;
    /** Time since the request of the response was sent. */
    requestAgeMs: number;
}
