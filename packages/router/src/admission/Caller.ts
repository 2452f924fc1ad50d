/** Who makes a call, and how much they may. */
export interface Caller {
    /** Name of the client account. */
    account: string;
    weight: number;
    maxConcurrentRequests: number;
    maxQueuedRequests: number;
    /** Passed to engines; higher goes first. */
    priority: number;
}
