import type { Upstream } from "../model/Upstream.js";

/** Returns a key for one run of an upstream's process; the id alone stays the same after a restart. */
export function instanceKeyOf(upstream: Upstream): string {
    return `${upstream.id}@${upstream.startedAtMs}`;
}
