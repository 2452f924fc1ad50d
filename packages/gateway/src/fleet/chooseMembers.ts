import type { Upstream } from "../model/Upstream.js";

/** Returns how soon a VM can serve a model; lower is sooner. */
function readiness(upstream: Upstream, model: string): number {
    if (upstream.model === model) {
        return 0;
    }
    return upstream.stagedModels.includes(model) ? 1 : upstream.stagedModels.length === 0 ? 2 : 3;
}

/**
 * Chooses VMs for a group: the members that stay, then the free VMs that can serve the model soonest. Returns undefined
 * if there are too few.
 */
export function chooseMembers(
    model: string,
    memberCount: number,
    staying: readonly Upstream[],
    free: readonly Upstream[],
): Upstream[] | undefined {
    const kept = staying.slice(0, memberCount);
    const added = [...free]
        .filter(upstream => !kept.some(member => member.id === upstream.id))
        .sort((left, right) => readiness(left, model) - readiness(right, model) || left.id.localeCompare(right.id))
        .slice(0, memberCount - kept.length);
    return kept.length + added.length === memberCount ? [...kept, ...added] : undefined;
}
