import type { EngineProfile } from "../model/EngineProfile.js";
import type { ModelProfile } from "../model/ModelProfile.js";
import { groupBy } from "../util/groupBy.js";
import { chooseMembers } from "./chooseMembers.js";
import type { FleetControllerOptions } from "./FleetControllerOptions.js";
import { FleetStabilityMonitor } from "./FleetStabilityMonitor.js";
import type { FleetState } from "./FleetState.js";
import type { GroupFormation } from "./GroupFormation.js";
import { groupSuffix } from "./groupSuffix.js";
import { planGroups } from "./planGroups.js";
import type { ServiceView } from "./ServiceView.js";

/** Factor on the number of concurrent weight loads that run at full speed; allows more while there is no traffic. */
const CONCURRENT_LOADS_FACTOR = 1.5;

/** Starts groups that do not exist yet. */
export class GroupPlanner {
    private readonly stability: FleetStabilityMonitor;

    private constructor(
        private readonly options: FleetControllerOptions,
        private readonly state: FleetState,
        private readonly formation: GroupFormation,
    ) {
        this.stability = FleetStabilityMonitor.create(options);
    }

    /** Creates an instance. */
    static create(
        options: FleetControllerOptions,
        state: FleetState,
        formation: GroupFormation,
    ): GroupPlanner {
        return new GroupPlanner(options, state, formation);
    }

    /** Checks whether upstreams are still registering. */
    updateStability(): void {
        this.stability.update();
    }

    /** Starts groups of free upstreams. */
    formNewGroups(view: ServiceView): void {
        const { engine, service } = view;
        const free = this.state.freeUpstreams(view);
        const byDomain = groupBy(free, upstream => upstream.domain);
        const counts = new Map<string, number>();
        for (const group of this.state.groups.values()) {
            if (group.service === service && group.phase !== "incomplete") {
                counts.set(group.model.name, (counts.get(group.model.name) ?? 0) + 1);
            }
        }
        const largest = Math.max(...engine.models.map(model => model.memberCount));
        const groups = [...this.state.groups.values()].filter(group => group.service === service);
        const countIn = (domain: string, isLargest: boolean) =>
            groups.filter(group => group.domain === domain && (group.model.memberCount === largest) === isLargest)
                .length;
        const domains = [...byDomain].map(([domain, members]) => ({
            domain,
            zone: members[0]?.zone,
            freeCount: members.length,
            largestGroupCount: countIn(domain, true),
            smallerGroupCount: countIn(domain, false),
        }));
        const demand = this.options.demandPlanner?.update(service, engine.models, groups, view.upstreams);
        for (const planned of planGroups(engine.models, counts, domains, this.stability.isStable, demand)) {
            const model = engine.models.find(item => item.name === planned.model);
            const inDomain = this.state.freeUpstreams(view).filter(upstream => upstream.domain === planned.domain);
            const members = model && chooseMembers(model.name, model.memberCount, [], inDomain);
            if (!model || !members) {
                continue;
            }
            const loadCount = members.filter(member => !member.stagedModels.includes(model.name)).length;
            if (!this.tryAcquireLoads(engine, loadCount)) {
                return;
            }
            const name = this.unusedName(planned.domain, model);
            this.formation.startFormation(service, name, planned.domain, model, members, "planned");
        }
    }

    private tryAcquireLoads(engine: EngineProfile, count: number): boolean {
        if (count === 0) {
            return true;
        }
        const loading = [...this.state.groups.values()].filter(item => item.phase === "joining").reduce(
            (sum, item) => sum + item.members.length,
            0,
        );
        const exceedsLimit = loading > 0 && loading + count > engine.concurrentWeightLoads * CONCURRENT_LOADS_FACTOR;
        return !exceedsLimit && this.options.weightLoadLimiter.tryAcquire(count, engine.weightLoadsPerSecond);
    }

    private unusedName(domain: string, model: ModelProfile): string {
        for (let index = 1;; index++) {
            const name = `${domain}.${index}${groupSuffix(model)}`;
            if (!this.state.groups.has(name)) {
                return name;
            }
        }
    }
}
