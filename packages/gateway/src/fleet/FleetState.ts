import type { EngineProfile } from "../model/EngineProfile.js";
import type { Upstream } from "../model/Upstream.js";
import type { FleetControllerOptions } from "./FleetControllerOptions.js";
import { headOf } from "./headOf.js";
import type { ManagedGroup } from "./ManagedGroup.js";
import { observeGroups } from "./observeGroups.js";
import { repairSteps } from "./repairSteps.js";
import type { ServiceView } from "./ServiceView.js";
import { standbyGroups } from "./standbyGroups.js";
import { UpstreamHealth } from "./UpstreamHealth.js";

/** Added to the stall time of a head that cannot be reached, because its members leave at slightly different times. */
const STALL_MARGIN_MS = 600;

/** The groups that the controller manages, and lookups that all of its parts share. */
export class FleetState {
    readonly groups = new Map<string, ManagedGroup>();
    /** Epoch at which each group was dissolved last, by name. Registrations of its members may still show it. */
    readonly dissolvedEpochs = new Map<string, number>();
    readonly health: UpstreamHealth;
    term = 0;
    /** When this gateway became the controller of the term, monotonic. */
    termSinceMs = -Infinity;

    private constructor(
        private readonly options: FleetControllerOptions,
    ) {
        this.health = UpstreamHealth.create(options);
    }

    /** Creates an instance. */
    static create(
        options: FleetControllerOptions,
    ): FleetState {
        return new FleetState(options);
    }

    /** Returns false while conclusions about a group's members would be wrong. */
    isReachable(group: ManagedGroup, sinceMs?: number): boolean {
        return this.options.isServiceReachable(group.service)
            && group.members.every(member => this.options.isZoneReachable(member.zone, sinceMs));
    }

    /** Returns true if this gateway still is the controller and has not changed the group while it waited. */
    isCurrent(group: ManagedGroup, phase: ManagedGroup["phase"]): boolean {
        return this.options.lease.isController && this.groups.get(group.name) === group && group.phase === phase;
    }

    /** Starts a phase of a group. */
    setPhase(group: ManagedGroup, phase: ManagedGroup["phase"]): void {
        group.repairDurations = repairSteps.until(group, this.nowMs());
        group.phase = phase;
        group.phaseSinceMs = this.nowMs();
    }

    /** Returns the current view, which may have changed while members were checked. */
    freshView({ service, engine }: ServiceView): ServiceView {
        return this.viewOf(service, engine);
    }

    /** Returns the engines of a service that can be reached. */
    viewOf(service: string, engine: EngineProfile): ServiceView {
        const upstreams = [...this.options.upstreams.all()].filter(upstream =>
            upstream.service === service && this.options.isZoneReachable(upstream.zone)
        );
        return { service, engine, upstreams, observed: observeGroups(upstreams) };
    }

    /** Returns the current registration of a group's head, or undefined if it is not registered. */
    currentHead(group: ManagedGroup): Upstream | undefined {
        const head = headOf(group);
        return head && this.options.upstreams.get(head.id);
    }

    /** Returns the current time, monotonic. */
    nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    /** Returns when every head has given up a group that stands still since `sinceMs`, both monotonic. */
    headsWaitUntilMs(sinceMs: number): number {
        return sinceMs + this.options.groupStallMs + STALL_MARGIN_MS;
    }

    /** Returns the upstreams that may join a serving group: those in no group or only in their own standby group. */
    freeUpstreams(view: ServiceView): Upstream[] {
        return this.availableUpstreams(view).filter(upstream => !this.health.isQuarantined(upstream));
    }

    /** Returns the upstreams that may join a serving group, now or once their quarantine ends. */
    availableUpstreams(view: ServiceView): Upstream[] {
        const taken = new Set<string>();
        for (const group of this.groups.values()) {
            group.members.forEach(member => taken.add(member.id));
        }
        return view.upstreams.filter(upstream =>
            this.health.isUsable(upstream) && !taken.has(upstream.id)
            && (!upstream.group || standbyGroups.isStandby(upstream.group.name))
            && !this.health.isRejecting(upstream)
        );
    }
}
