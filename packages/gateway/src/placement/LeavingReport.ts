/** An instance of an upstream that is shutting down, as one gateway reports it to another. */
export interface LeavingReport {
    /** Id of the upstream. */
    upstream: string;
    /** Start time of the instance, Unix time. */
    startedAtMs: number;
    /** Time since a gateway learned of it. */
    ageMs: number;
}
