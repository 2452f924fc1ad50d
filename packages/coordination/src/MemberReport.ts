/** What an engine says of itself, as a probe saw it. */
export interface MemberReport {
    vm: string;
    /** New with every start of the engine. */
    bootId: string;
    /** Group that the engine was ordered into; empty when it holds no model. */
    group: string;
    /** Fencing number of the order that it follows; 0 when empty. */
    epoch: number;
    /** Name of the model version object; empty when empty. */
    modelVersion: string;
    /** Position in the group; 0 takes the requests. */
    rank: number;
    phase: "empty" | "loading" | "ready";
    /** Requests in progress, lagging. */
    runningRequests: number;
    /** Requests waiting in the engine, lagging. */
    waitingRequests: number;
}
