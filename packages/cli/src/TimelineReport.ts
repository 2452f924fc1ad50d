import type { StampedEvent } from "@fescuehaven/telemetry";

/** The time lines of many processes as one. */
export interface TimelineReport {
    /** In causal order. */
    events: StampedEvent[];
    /** Names of the processes that did not answer. */
    unreachable: string[];
    /** Events that had left a process's ring, by process name. */
    dropped: Record<string, number>;
}
