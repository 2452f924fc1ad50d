import type { TimelineEventKind } from "./TimelineEventKind.js";

/** Something that a process did or observed, without its timestamp. Fields that do not apply are left out. */
export interface TimelineEvent {
    kind: TimelineEventKind;
    requestId?: string;
    group?: string;
    vm?: string;
    /** Availability zone that the event is about, if it differs from the zone of the process. */
    zone?: string;
    epoch?: number;
    /** Object as `KIND/NAME`, for configuration events. */
    object?: string;
    revision?: number;
    /** Short machine-readable cause. */
    reason?: string;
    durationMs?: number;
    count?: number;
}
