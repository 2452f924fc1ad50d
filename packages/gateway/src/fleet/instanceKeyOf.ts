import type { Upstream } from "../model/Upstream.js";

/** Names one run of an upstream's process; an id alone may come back after a restart. */
export function instanceKeyOf(upstream: Upstream): string {
    return `${upstream.id}@${upstream.startedAtMs}`;
}
