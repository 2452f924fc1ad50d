import type { ModelProfile } from "../model/ModelProfile.js";
import type { PlanningDemand } from "./PlanningDemand.js";

/** State of a fabric domain while groups are planned. */
interface DomainState {
    domain: string;
    /** Zone of the domain; matters only where there is demand by zone. */
    zone?: string;
    /** Number of VMs that belong to no group. */
    freeCount: number;
    /** Number of groups of the models with the largest member count. */
    largestGroupCount: number;
    /** Number of groups of the other models. */
    smallerGroupCount?: number;
}

/** A group to be formed. */
interface PlannedGroup {
    domain: string;
    model: string;
}

/**
 * VMs that a domain keeps as spares for its groups. Without a spare, the loss of one member takes a whole group out of
 * service until another VM has loaded the weights, which takes 12 to 16 s; a spare joins within two seconds.
 */
const MIN_SPARES = 1;

/**
 * Plans groups for the free VMs of each fabric domain, starting with the model whose groups have the most work each. A
 * group never spans domains, and a domain gets a second group of the largest size only if the VMs of that model have
 * more work than those of all others. While VMs are still registering (`isStable` is false), only the model with the
 * most work is planned, even if no domain has room for it yet, so that small groups do not take the VMs of large ones.
 * A domain with a large and a smaller group keeps a spare instead of a further smaller group, unless `demand` shows that
 * the smaller model is short of groups.
 * With `demand`, its shares are used instead of the configured ones, and among domains that fit equally well the one in
 * the zone whose share of the requests exceeds its share of the groups most.
 */
export function planGroups(
    configuredModels: readonly ModelProfile[],
    groupCounts: ReadonlyMap<string, number>,
    domains: readonly DomainState[],
    isStable: boolean,
    demand?: PlanningDemand,
): PlannedGroup[] {
    const models = configuredModels.map(model => ({
        ...model,
        demandShare: demand?.shares.get(model.name) ?? model.demandShare,
    }));
    const zoneCounts = new Map([...demand?.zoneGroupCounts ?? []].map(([model, byZone]) => [model, new Map(byZone)]));
    const counts = new Map(groupCounts);
    const states = domains.map(state => ({ ...state }));
    const planned: PlannedGroup[] = [];
    const largestMemberCount = Math.max(...models.map(model => model.memberCount));
    for (;;) {
        const workPerVm = (model: ModelProfile) => workPerGroup(model, counts) / (model.timeFactor * model.memberCount);
        const isBusiest = (model: ModelProfile) =>
            models.every(other => other === model || workPerVm(model) > workPerVm(other));
        const needsSpare = (
            model: ModelProfile,
            { freeCount, largestGroupCount, smallerGroupCount = 0 }: DomainState,
        ) => freeCount - model.memberCount < MIN_SPARES && largestGroupCount > 0 && smallerGroupCount > 0
            && !demand?.shortModels.has(model.name);
        const isAllowed = (model: ModelProfile, state: DomainState) =>
            model.memberCount < largestMemberCount
                ? !needsSpare(model, state)
                : state.largestGroupCount === 0 || isBusiest(model);
        const ordered = [...models].sort((left, right) => workPerGroup(right, counts) - workPerGroup(left, counts));
        /** Returns by how much a zone's share of the requests exceeds its share of the groups, in tenths. */
        const excessOf = ({ name }: ModelProfile, { zone = "" }: DomainState) => {
            const byZone = zoneCounts.get(name);
            const total = [...byZone?.values() ?? []].reduce((sum, count) => sum + count, 0);
            const requestShare = demand?.zoneShares.get(name)?.get(zone) ?? 0;
            return Math.round(10 * (requestShare - (byZone?.get(zone) ?? 0) / Math.max(1, total)));
        };
        const candidates = isStable ? ordered : ordered.slice(0, 1);
        const choice = pickNext(candidates, states, largestMemberCount, isAllowed, excessOf);
        if (!choice) {
            return planned;
        }
        const { state, model } = choice;
        planned.push({ domain: state.domain, model: model.name });
        counts.set(model.name, (counts.get(model.name) ?? 0) + 1);
        const { zone = "" } = state;
        zoneCounts.get(model.name)?.set(zone, (zoneCounts.get(model.name)?.get(zone) ?? 0) + 1);
        state.freeCount -= model.memberCount;
        const isLargest = model.memberCount === largestMemberCount;
        state.largestGroupCount += isLargest ? 1 : 0;
        state.smallerGroupCount = (state.smallerGroupCount ?? 0) + (isLargest ? 0 : 1);
    }
}

/** Returns the work per group of a model. A group with half the time factor does twice the work. */
function workPerGroup(model: ModelProfile, counts: ReadonlyMap<string, number>): number {
    const count = counts.get(model.name) ?? 0;
    return count === 0 ? Infinity : model.demandShare * model.timeFactor / count;
}

/**
 * Picks the first model for which there is room, and the domain that keeps the most room for groups of the largest
 * size; among equal ones the domain whose zone has the largest excess of demand.
 */
function pickNext(
    ordered: readonly ModelProfile[],
    states: readonly DomainState[],
    largestMemberCount: number,
    isAllowed: (model: ModelProfile, state: DomainState) => boolean,
    excessOf: (model: ModelProfile, state: DomainState) => number,
): { state: DomainState; model: ModelProfile; } | undefined {
    for (const model of ordered) {
        const largestGroupsPrevented = ({ freeCount }: DomainState) =>
            Math.floor(freeCount / largestMemberCount)
            - Math.floor((freeCount - model.memberCount) / largestMemberCount);
        const fitting = states.filter(state => state.freeCount >= model.memberCount && isAllowed(model, state));
        const [best] = fitting.sort((one, other) =>
            largestGroupsPrevented(one) - largestGroupsPrevented(other)
            || excessOf(model, other) - excessOf(model, one) || other.freeCount - one.freeCount
            || one.domain.localeCompare(other.domain)
        );
        if (best) {
            return { state: best, model };
        }
    }
    return undefined;
}
