/** Counters and latency histograms. */
export interface GatewayMetrics {
    /** Counts an event by its reason. */
    count(
        name:
            | "requests"
            | "refusals"
            | "rankRefusals"
            | "clientRefusals"
            | "retries"
            | "relayed"
            | "leftZone"
            | "groupsLost"
            | "orders"
            | "storeFailures"
            | "storeEras",
        reason: string,
    ): void;

    /** Adds a duration to a histogram. */
    observe(
        name:
            | "firstEvent"
            | "answer"
            | "queueWait"
            | "repair"
            | "repairDetection"
            | "repairGivingUp"
            | "repairLeaving"
            | "repairChoosing"
            | "repairJoining"
            | "repairOpening"
            | "restoredRead"
            | "eventLoopDelay",
        durationMs: number,
    ): void;
}
