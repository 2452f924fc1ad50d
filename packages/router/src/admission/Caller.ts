/** The client account that makes a call, with its limits. */
export interface Caller {
    /** Name of the client account. */
    account: string;
    weight: number;
    maxConcurrentRequests: number;
    maxQueuedRequests: number;
    /** Passed to engines; calls with a higher value are served first. */
    priority: number;
}
