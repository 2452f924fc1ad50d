import type { Upstream } from "../model/Upstream.js";

/** Returns the ids of upstreams. */
export function idsOf(members: readonly Upstream[]): Set<string> {
    return new Set(members.map(member => member.id));
}
