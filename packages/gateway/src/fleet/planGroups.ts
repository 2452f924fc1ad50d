import type { ModelProfile } from "../model/ModelProfile.js";

/** A fabric domain as the plan sees it. */
interface DomainState {
    domain: string;
    /** VMs that belong to no group. */
    freeCount: number;
    /** Groups that it has. */
    groupCount: number;
}

/** A group to be formed. */
interface PlannedGroup {
    domain: string;
    model: string;
}

/**
 * Plans groups for the free VMs of each fabric domain, the model first whose VMs have most work each. A group never
 * spans domains. While VMs are still registering (`isSettled` false), a domain's first group is one of the largest and
 * others follow it, so that small groups do not take the VMs of large ones.
 */
export function planGroups(
    models: readonly ModelProfile[],
    groupCounts: ReadonlyMap<string, number>,
    domains: readonly DomainState[],
    isSettled: boolean,
): PlannedGroup[] {
    const counts = new Map(groupCounts);
    const states = domains.map(state => ({ ...state }));
    const planned: PlannedGroup[] = [];
    const largest = Math.max(...models.map(model => model.memberCount));
    for (;;) {
        const ordered = [...models].sort((left, right) => workPerVm(right, counts) - workPerVm(left, counts));
        const choice = pick(ordered, states, largest, isSettled);
        if (!choice) {
            return planned;
        }
        const { state, model } = choice;
        planned.push({ domain: state.domain, model: model.name });
        counts.set(model.name, (counts.get(model.name) ?? 0) + 1);
        state.freeCount -= model.memberCount;
        state.groupCount += 1;
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
    states: readonly DomainState[],
    largest: number,
    isSettled: boolean,
): { state: DomainState; model: ModelProfile; } | undefined {
    for (const model of ordered) {
        const largestLost = ({ freeCount }: DomainState) =>
            Math.floor(freeCount / largest) - Math.floor((freeCount - model.memberCount) / largest);
        const isDue = ({ groupCount }: DomainState) =>
            isSettled || (model.memberCount === largest ? groupCount === 0 : groupCount > 0);
        const [best] = states.filter(state => state.freeCount >= model.memberCount && isDue(state)).sort((one, other) =>
            largestLost(one) - largestLost(other) || other.freeCount - one.freeCount
            || one.domain.localeCompare(other.domain)
        );
        if (best) {
            return { state: best, model };
        }
    }
    return undefined;
}
