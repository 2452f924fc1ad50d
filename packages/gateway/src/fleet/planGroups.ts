import type { ModelProfile } from "../model/ModelProfile.js";

/** A fabric domain as the plan sees it. */
interface DomainState {
    domain: string;
    /** VMs that belong to no group. */
    freeCount: number;
}

/** A group to be formed. */
interface PlannedGroup {
    domain: string;
    model: string;
}

/**
 * Plans groups for the free VMs of each fabric domain, the model first whose VMs have most work each. A group never
 * spans domains. While VMs are still registering (`isSettled` false), a model for which there is no room yet is waited
 * for, so that small groups do not take the VMs of large ones.
 */
export function planGroups(
    models: readonly ModelProfile[],
    groupCounts: ReadonlyMap<string, number>,
    domains: readonly DomainState[],
    isSettled: boolean,
): PlannedGroup[] {
    const counts = new Map(groupCounts);
    const free = new Map(domains.map(({ domain, freeCount }) => [domain, freeCount]));
    const planned: PlannedGroup[] = [];
    const largest = Math.max(...models.map(model => model.memberCount));
    for (;;) {
        const ordered = [...models].sort((left, right) => workPerVm(right, counts) - workPerVm(left, counts));
        const choice = pick(isSettled ? ordered : ordered.slice(0, 1), free, largest);
        if (!choice) {
            return planned;
        }
        planned.push({ domain: choice.domain, model: choice.model.name });
        counts.set(choice.model.name, (counts.get(choice.model.name) ?? 0) + 1);
        free.set(choice.domain, (free.get(choice.domain) ?? 0) - choice.model.memberCount);
    }
}

/** Share of the work that each VM of a model's groups has. */
function workPerVm(model: ModelProfile, counts: ReadonlyMap<string, number>): number {
    const count = counts.get(model.name) ?? 0;
    return count === 0 ? Infinity : model.demandShare / (count * model.memberCount);
}

/** The first model for which there is room, in the domain that keeps most room for the largest groups. */
function pick(
    ordered: readonly ModelProfile[],
    free: ReadonlyMap<string, number>,
    largest: number,
): { domain: string; model: ModelProfile; } | undefined {
    for (const model of ordered) {
        const largestLost = (count: number) =>
            Math.floor(count / largest) - Math.floor((count - model.memberCount) / largest);
        const [best] = [...free].filter(([, count]) => count >= model.memberCount).sort((left, right) =>
            largestLost(left[1]) - largestLost(right[1]) || right[1] - left[1] || left[0].localeCompare(right[0])
        );
        if (best) {
            return { domain: best[0], model };
        }
    }
    return undefined;
}
