import type { OpenGroup } from "../peers/OpenGroup.js";
import type { FleetControllerOptions } from "./FleetControllerOptions.js";
import { FleetState } from "./FleetState.js";
import { GroupActivity } from "./GroupActivity.js";
import { GroupAdoption } from "./GroupAdoption.js";
import { GroupFormation } from "./GroupFormation.js";
import { GroupMonitor } from "./GroupMonitor.js";
import { GroupPlanner } from "./GroupPlanner.js";
import { GroupRelease } from "./GroupRelease.js";
import type { ManagedGroup } from "./ManagedGroup.js";
import { MemberChecker } from "./MemberChecker.js";
import type { ServiceView } from "./ServiceView.js";

/** Pause between two reconcile passes; short compared to the 200 ms of a warm join. */
const RECONCILE_INTERVAL_MS = 40;
/** Pause between two checks of the lease while another gateway is the controller; `ControllerLease` polls as often. */
const LEASE_POLL_INTERVAL_MS = 100;
/** Time for which a newly opened group is announced; by then the head's registration has reached all gateways. */
const OPEN_ANNOUNCEMENT_MS = 3000;

/** Forms, monitors and repairs the serving groups while this gateway is the controller. */
export class FleetController {
    private readonly state: FleetState;
    private readonly activity: GroupActivity;
    private readonly release: GroupRelease;
    private readonly formation: GroupFormation;
    private readonly planner: GroupPlanner;
    private readonly monitor: GroupMonitor;
    private readonly adoption: GroupAdoption;

    private constructor(private readonly options: FleetControllerOptions) {
        this.state = FleetState.create(options);
        const memberChecker = MemberChecker.create({
            ...options,
            health: this.state.health,
            isReachable: (group, sinceMs) => this.state.isReachable(group, sinceMs),
        });
        this.activity = GroupActivity.create(options, this.state);
        this.release = GroupRelease.create(options, this.state);
        this.formation = GroupFormation.create(options, this.state, this.release, memberChecker);
        this.planner = GroupPlanner.create(options, this.state, this.formation);
        this.monitor = GroupMonitor.create(options, this.state, this.activity, this.formation, memberChecker);
        this.adoption = GroupAdoption.create(options, this.state, this.monitor);
    }

    /** Creates a controller. It acts only after `run` was called and while this gateway holds the lease. */
    static create(options: FleetControllerOptions): FleetController {
        return new FleetController(options);
    }

    /** Returns the groups that opened recently, or all open groups while the view of upstreams is out of date. */
    recentlyOpened(): OpenGroup[] {
        const sinceMs = this.options.isViewFresh() ? this.state.nowMs() - OPEN_ANNOUNCEMENT_MS : -Infinity;
        return [...this.state.groups.values()]
            .filter(({ phase, phaseSinceMs }) => phase === "open" && phaseSinceMs >= sinceMs)
            .map(({ members, name, epoch, model }) => ({ head: members[0]?.id ?? "", name, epoch, model: model.name }));
    }

    /** Runs reconcile passes until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, lease } = this.options;
        this.activity.runningSinceMs = this.state.nowMs();
        while (!signal.aborted) {
            if (lease.isController) {
                this.reconcile();
            }
            else if (this.state.term !== 0) {
                this.stepDown();
            }
            await clock.sleep(lease.isController ? RECONCILE_INTERVAL_MS : LEASE_POLL_INTERVAL_MS, signal);
        }
    }

    private stepDown(): void {
        this.options.log.info("no longer the controller", { term: this.state.term });
        this.state.term = 0;
        this.state.groups.clear();
        this.state.dissolvedEpochs.clear();
        this.options.upstreams.forgetOrders();
        this.state.health.clear();
    }

    private reconcile(): void {
        const { lease, log, configuration } = this.options;
        if (lease.term !== this.state.term) {
            this.stepDown();
            this.state.term = lease.term;
            this.state.termSinceMs = this.state.nowMs();
            this.options.epochs.start(this.state.term);
            log.info("acting as the controller", { term: this.state.term });
        }
        this.release.quarantineReplacedBefore();
        this.planner.updateStability();
        for (const [service, { engine }] of configuration.current?.services ?? []) {
            if (!engine || !this.activity.updateReachability(service)) {
                continue;
            }
            const view = this.state.viewOf(service, engine);
            this.adoption.adoptGroups(view);
            [...this.state.groups.values()].filter(item => item.service === service && this.state.isReachable(item))
                .forEach(
                    item => this.advance(view, item),
                );
            this.release.releaseNonMembers(view);
            this.planner.formNewGroups(view);
            this.options.standbyPool.prepareSpares(
                service,
                engine,
                this.state.freeUpstreams(view),
                this.state.groups,
                () => this.options.epochs.next(),
            );
        }
    }

    private advance(view: ServiceView, group: ManagedGroup): void {
        if (group.isAwaitingMembers && group.phase !== "lost") {
            this.monitor.advanceAwaiting(view, group);
            return;
        }
        this.phaseHandlers[group.phase](view, group);
    }

    private readonly phaseHandlers: Record<ManagedGroup["phase"], (view: ServiceView, group: ManagedGroup) => void> = {
        joining: (view, group) => this.formation.advanceJoining(view, group),
        opening: (view, group) => this.formation.advanceOpening(view, group),
        open: (view, group) => this.monitor.advanceOpen(view, group),
        closing: (view, group) => this.monitor.advanceClosing(view, group),
        lost: (view, group) => this.monitor.advanceLost(view, group),
        incomplete: (view, group) => this.formation.advanceIncomplete(view, group),
    };
}
