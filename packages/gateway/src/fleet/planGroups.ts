import type { ModelProfile } from "../model/ModelProfile.js";

/** A fabric domain as the plan sees it. */
interface DomainState {
    domain: string;
    /** VMs that belong to no group. */
    freeCount: number;
    /** Groups of the models with most members that it has. */
    largestCount: number;
}

/** A group to be formed. */
interface PlannedGroup {
    domain: string;
    model: string;
}

/**
 * Plans groups for the free VMs of each fabric domain, the model first whose groups have most work each. A group never
 * spans domains, and a domain gets a second one of the largest groups only if their VMs have more work than all others.
 * While VMs are still registering (`isStable` false), a model for which there is no room yet is waited for, so that
 * small groups do not take the VMs of large ones.
 */
export function planGroups(
    models: readonly ModelProfile[],
    groupCounts: ReadonlyMap<string, number>,
    domains: readonly DomainState[],
    isStable: boolean,
): PlannedGroup[] {
    const counts = new Map(groupCounts);
    const states = domains.map(state => ({ ...state }));
    const planned: PlannedGroup[] = [];
    const largest = Math.max(...models.map(model => model.memberCount));
    for (;;) {
        const workOfVms = (model: ModelProfile) => workPerGroup(model, counts) / (model.timeFactor * model.memberCount);
        const isBusiest = (model: ModelProfile) =>
            models.every(other => other === model || workOfVms(model) > workOfVms(other));
        const isDue = (model: ModelProfile, { largestCount }: DomainState) =>
            model.memberCount < largest || largestCount === 0 || isBusiest(model);
        const ordered = [...models].sort((left, right) => workPerGroup(right, counts) - workPerGroup(left, counts));
        const choice = pick(isStable ? ordered : ordered.slice(0, 1), states, largest, isDue);
        if (!choice) {
            return planned;
        }
        const { state, model } = choice;
        planned.push({ domain: state.domain, model: model.name });
        counts.set(model.name, (counts.get(model.name) ?? 0) + 1);
        state.freeCount -= model.memberCount;
        state.largestCount += model.memberCount === largest ? 1 : 0;
    }
}

/** Work of a model for each of its groups; a group at half the pace factor does twice the work. */
function workPerGroup(model: ModelProfile, counts: ReadonlyMap<string, number>): number {
    const count = counts.get(model.name) ?? 0;
    return count === 0 ? Infinity : model.demandShare * model.timeFactor / count;
}

/** The first model for which there is room, in the domain that keeps most room for the largest groups. */
function pick(
    ordered: readonly ModelProfile[],
    states: readonly DomainState[],
    largest: number,
    isDue: (model: ModelProfile, state: DomainState) => boolean,
): { state: DomainState; model: ModelProfile; } | undefined {
    for (const model of ordered) {
        const largestLost = ({ freeCount }: DomainState) =>
            Math.floor(freeCount / largest) - Math.floor((freeCount - model.memberCount) / largest);
        const fitting = states.filter(state => state.freeCount >= model.memberCount && isDue(model, state));
        const [best] = fitting.sort((one, other) =>
            largestLost(one) - largestLost(other) || other.freeCount - one.freeCount
            || one.domain.localeCompare(other.domain)
        );
        if (best) {
            return { state: best, model };
        }
    }
    return undefined;
}
