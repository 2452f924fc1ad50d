/** Selects timeline events to read. A field that is left out matches all events. */
export interface EventFilter {
    requestId?: string;
    group?: string;
    vm?: string;
    /** Returns at most this many events, the newest. */
    limit?: number;
}
