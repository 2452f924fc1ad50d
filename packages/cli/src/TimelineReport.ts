import type { StampedEvent } from "@fescuehaven/telemetry";

/** The merged timelines of several processes. */
export interface TimelineReport {
    /** In causal order. */
    events: StampedEvent[];
    /** Names of the processes that did not respond. */
    unreachable: string[];
    /** Number of events that a process had already discarded from its ring buffer, by process name. */
    dropped: Record<string, number>;
}
