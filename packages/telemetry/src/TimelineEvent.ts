import type { TimelineEventKind } from "./TimelineEventKind.js";

/** What a process did or saw, without its time stamp. Fields that do not apply are left out. */
export interface TimelineEvent {
    kind: TimelineEventKind;
    requestId?: string;
    group?: string;
    vm?: string;
    /** Availability zone that the event is about, where it is not the process's own. */
    zone?: string;
    epoch?: number;
    /** Object kind/name, for configuration events. */
    object?: string;
    revision?: number;
    /** Short machine-readable cause. */
    reason?: string;
    durationMs?: number;
    count?: number;
}
