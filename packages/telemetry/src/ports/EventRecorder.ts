import type { TimelineEvent } from "../TimelineEvent.js";

/** Takes the events of a process for its time line. */
export interface EventRecorder {
    /** Stamps and keeps the event. Never fails. */
    record(event: TimelineEvent): void;
}
