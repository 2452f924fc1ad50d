/** Counters and latency histograms. */
export interface GatewayMetrics {
    /** Counts an event by its reason. */
    count(
        name:
            | "requests"
            | "refusals"
            | "clientRefusals"
            | "retries"
            | "relayed"
            | "groupsLost"
            | "orders"
            | "storeFailures"
            | "storeEras",
        reason: string,
    ): void;

    /** Adds a duration to a histogram. */
    observe(
        name: "firstEvent" | "answer" | "queueWait" | "repair" | "restoredRead" | "eventLoopDelay",
        durationMs: number,
    ): void;
}
