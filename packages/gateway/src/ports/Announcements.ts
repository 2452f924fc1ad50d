import type { LimitAnnouncement } from "./LimitAnnouncement.js";

/** What an upstream states about itself in a response, beside the response proper. */
export interface Announcements {
    /** Absent if it announces no limit. */
    limit?: LimitAnnouncement;
    /** True if its instance is shutting down and must get no further requests. */
    isLeaving?: boolean;
    /** Time for which it wants no requests from this gateway. Absent if it names none. */
    waitMs?: number;
    /** Announcements whose values cannot be read, as NAME: VALUE. */
    unreadable?: readonly string[];
}
