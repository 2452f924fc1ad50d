import type { Upstream } from "../model/Upstream.js";
import type { ObservedGroup } from "./ObservedGroup.js";

/** Derives the serving groups from the registrations of upstreams. Only the newest epoch of each group name counts. */
export function observeGroups(upstreams: Iterable<Upstream>): Map<string, ObservedGroup> {
    const groups = new Map<string, ObservedGroup>();
    for (const upstream of upstreams) {
        const { group } = upstream;
        if (!group) {
            continue;
        }
        let observed = groups.get(group.name);
        if (!observed || observed.epoch < group.epoch) {
            observed = { name: group.name, epoch: group.epoch, members: new Map() };
            groups.set(group.name, observed);
        }
        if (observed.epoch === group.epoch) {
            observed.members.set(group.rank, upstream);
        }
    }
    return groups;
}
