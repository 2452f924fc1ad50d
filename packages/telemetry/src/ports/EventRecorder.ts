import type { TimelineEvent } from "../TimelineEvent.js";

/** Records the events of a process in its timeline. */
export interface EventRecorder {
    /** Adds a timestamp to the event and keeps it. Never throws. */
    record(event: TimelineEvent): void;
}
