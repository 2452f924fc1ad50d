/** Which events of the time line to read; fields left out match all. */
export interface EventFilter {
    requestId?: string;
    group?: string;
    vm?: string;
    /** At most this many, the newest. */
    limit?: number;
}
