import type { Upstream } from "../model/Upstream.js";

/** Findings about a group that may have failed and still has requests in flight. */
export interface GroupLoss {
    reason: string;
    /** Ids of members that slowed the group down. */
    slow: ReadonlySet<string>;
    /** Members that did not respond to their last check. */
    silent: readonly Upstream[];
    /** When the group had opened, monotonic. */
    openSinceMs: number;
    /** When gateways were last told that the group is lost, monotonic. */
    announcedAtMs: number;
}
