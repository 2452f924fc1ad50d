import type { HybridTimestamp } from "./HybridTimestamp.js";
import type { TimelineEvent } from "./TimelineEvent.js";

/** An event with its timestamp and the process that recorded it. */
export interface StampedEvent extends TimelineEvent {
    at: HybridTimestamp;
    process: string;
    /** Availability zone of the process. */
    processZone: string;
}
