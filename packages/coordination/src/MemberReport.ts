/** Report of an engine about itself, as received by a probe. */
export interface MemberReport {
    vm: string;
    /** New with every start of the engine. */
    bootId: string;
    /** Group that the engine was ordered into; empty if it holds no model. */
    group: string;
    /** Fencing token of the order that it follows; 0 if it holds no model. */
    epoch: number;
    /** Name of the model version object; empty if it holds no model. */
    modelVersion: string;
    /** Rank in the group; the member of rank 0 takes the requests. */
    rank: number;
    phase: "empty" | "loading" | "ready";
    /** Requests in progress at the time of the report. */
    runningRequests: number;
    /** Requests waiting in the engine at the time of the report. */
    waitingRequests: number;
}
