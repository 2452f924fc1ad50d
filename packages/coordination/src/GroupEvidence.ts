/** Evidence that all members of a group are present at the claimed epoch. Valid until `freshUntilMs`. */
export interface GroupEvidence {
    group: string;
    epoch: number;
    modelVersion: string;
    /** VM of rank 0, which takes the requests. */
    headVm: string;
    /** Base URL of the head's engine. */
    headUrl: string;
    /** Boot id of every member by rank; the replica is cold whenever this changes. */
    bootIds: readonly string[];
    /** Requests in progress at the head according to its last report. */
    reportedLoad: number;
    /** Expiry on this process's monotonic clock. */
    freshUntilMs: number;
}
