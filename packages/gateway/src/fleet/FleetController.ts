import type { Clock } from "@fescuehaven/runtime";
import type { ActiveConfiguration } from "../ActiveConfiguration.js";
import type { EngineProfile } from "../model/EngineProfile.js";
import type { ModelProfile } from "../model/ModelProfile.js";
import type { Upstream } from "../model/Upstream.js";
import type { OpenGroup } from "../peers/OpenGroup.js";
import type { LoadTracker } from "../placement/LoadTracker.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import { groupBy } from "../util/groupBy.js";
import { chooseMembers } from "./chooseMembers.js";
import type { ControllerLease } from "./ControllerLease.js";
import type { DemandPlanner } from "./DemandPlanner.js";
import type { EpochSource } from "./EpochSource.js";
import { FleetStabilityMonitor } from "./FleetStabilityMonitor.js";
import type { FormerHead } from "./FormerHead.js";
import { instanceKeyOf } from "./instanceKeyOf.js";
import type { ManagedGroup } from "./ManagedGroup.js";
import { MemberChecker } from "./MemberChecker.js";
import type { MemberFailure } from "./MemberFailure.js";
import type { MemberProber } from "./MemberProber.js";
import type { ObservedGroup } from "./ObservedGroup.js";
import { observeGroups } from "./observeGroups.js";
import type { OrderSender } from "./OrderSender.js";
import { planGroups } from "./planGroups.js";
import { repairHistograms } from "./repairHistograms.js";
import { repairSteps } from "./repairSteps.js";
import { standbyGroups } from "./standbyGroups.js";
import type { StandbyPool } from "./StandbyPool.js";
import { UpstreamHealth } from "./UpstreamHealth.js";
import type { WeightLoadLimiter } from "./WeightLoadLimiter.js";

interface FleetControllerOptions {
    clock: Clock;
    log: DecisionLog;
    metrics: GatewayMetrics;
    configuration: ActiveConfiguration;
    upstreams: UpstreamDirectory;
    loads: LoadTracker;
    lease: ControllerLease;
    epochs: EpochSource;
    orders: OrderSender;
    prober: MemberProber;
    weightLoadLimiter: WeightLoadLimiter;
    standbyPool: StandbyPool;
    /** Derives shares from the demand for models; the configured shares are planned if absent. */
    demandPlanner?: DemandPlanner;
    /** Time for which the head of a group with an unresponsive member waits before it gives the group up. */
    groupStallMs: number;
    /**
     * Returns false while a zone seems to be partitioned from this one, or if nothing was received from it since
     * `sinceMs`. Conclusions about the upstreams of such a zone would be wrong.
     */
    isZoneReachable: (zone: string, sinceMs?: number) => boolean;
    /**
     * Returns false while no upstream of a service seems to respond to this gateway. That tells nothing of any single one:
     * they may all work, and be back at any moment.
     */
    isServiceReachable: (service: string) => boolean;
    /** How much older the loads reported by other gateways can be than the interval between their updates. */
    loadLagMs: () => number;
    /** Reports a lost group to all gateways. */
    announceLost: (epoch: number, reason: string) => void;
    /** Returns true if a group was recently reported lost. Gateways send no requests to such a group. */
    isLost: (epoch: number) => boolean;
    /** Returns false while the view of upstreams is not kept up to date by the store. */
    isViewFresh: () => boolean;
    /** Reports newly opened groups to all gateways. */
    announceOpen: () => void;
}

/** The engines of one service, as seen in one reconcile pass. */
interface ServiceView {
    service: string;
    engine: EngineProfile;
    upstreams: Upstream[];
    observed: Map<string, ObservedGroup>;
}

/** A failure of a group that is certain, and the members that must not be part of it when it is re-formed. */
interface GroupFailure {
    reason: string;
    excluded: ReadonlySet<string>;
}

const FIRST_TERM = 1;
/** Pause between two reconcile passes; short compared to the 200 ms of a warm join. */
const RECONCILE_INTERVAL_MS = 40;
/** Duration of a join with the model's weights in memory. */
const WARM_JOIN_MS = 200;
/** Pause between two checks of the lease while another gateway is the controller; `ControllerLease` polls as often. */
const LEASE_POLL_INTERVAL_MS = 100;
/** Silence of a group, as seen by all gateways, after which its members are checked; longer than most engine passes. */
const SILENCE_BEFORE_CHECK_MS = 220;
/** Silence after which a group counts as lost even though all its members respond. */
const MAX_SILENCE_MS = 1500;
/**
 * Silence after which the requests of a group no longer count: callers abandon a stream that pauses for two seconds. A
 * sound group may be silent for a second and go on.
 */
const ABANDONED_AFTER_MS = 2000;
/** A draining member leaves after this time, even if its group has requests in flight. */
const MAX_DRAIN_MS = 10_000;
/** A process that has just started may not have received the loads of its peers until then; they are sent every 0.4 s. */
const LOAD_DISCOVERY_MS = 1000;
/** Time between announcements of a group that is lost and still has requests; much shorter than gateways exclude it. */
const LOSS_ANNOUNCEMENT_INTERVAL_MS = 3000;
/** Minimum time between two checks of the members of one group. */
const CHECK_INTERVAL_MS = 400;
/**
 * Minimum time between two checks of members whose registrations are missing; longer because every check has a cost.
 */
const UNLISTED_CHECK_INTERVAL_MS = 1500;
/** Age from which a group's members must report its epoch; before, reports may lag by a few hundred ms. */
const EPOCH_CHECK_MIN_AGE_MS = 1000;
/** A member whose registration does not show its join after this time is checked. */
const JOIN_CHECK_AFTER_MS = 1200;
/** Delay before a group is re-formed after a rejected join, so that the view of upstreams is up to date again. */
const REJECTED_JOIN_DELAY_MS = 150;
/** Minimum time between two report requests to a member; half of the 200 ms by which reports lag. */
const REPORT_INTERVAL_MS = 100;
/** The open order is repeated if the head's registration does not show the open group after this time. */
const OPEN_RETRY_AFTER_MS = 900;
/** The close order is repeated if the head's registration still shows an open group after this time. */
const CLOSE_RETRY_AFTER_MS = 900;
/** A head that has been closed and has no requests of gateways any more is ready within this time. */
const CLOSE_TIMEOUT_MS = 2000;
/**
 * A draining member is replaced after this time at the latest: it leaves after ten seconds, even if its head has work.
 */
const DRAIN_TIMEOUT_MS = 6000;
/**
 * An adopted group that serves is closed after this time if a member is still not registered: a member that leaves does so
 * within ten seconds, and the requests in flight need some of them.
 */
const UNLISTED_TIMEOUT_MS = 5000;
/** Share of a model's groups that may be unavailable at the same time because of draining members. */
const MAX_UNAVAILABLE_SHARE = 0.3;
/** Time for which a newly opened group is announced; by then the head's registration has reached all gateways. */
const OPEN_ANNOUNCEMENT_MS = 3000;
/**
 * An adopted group waits this long for members without a registration, counted from the last member that registered:
 * registrations that have lapsed while the store was unavailable are back within two seconds.
 */
const MEMBER_RETURN_GRACE_MS = 3000;
/** Added to the stall time of a head that cannot be reached, because its members leave at slightly different times. */
const STALL_MARGIN_MS = 600;
/** Factor on the number of concurrent weight loads that run at full speed; allows more while there is no traffic. */
const CONCURRENT_LOADS_FACTOR = 1.5;

/** Forms, monitors and repairs the serving groups while this gateway is the controller. */
export class FleetController {
    private groups = new Map<string, ManagedGroup>();
    /** Epoch at which each group was dissolved last, by name. Registrations of its members may still show it. */
    private readonly dissolvedEpochs = new Map<string, number>();
    /** Members of dissolved groups that are ordered to leave once their head has answered, by instance. */
    private readonly releasing = new Set<string>();
    private readonly health: UpstreamHealth;
    private term = 0;
    /** When this gateway became the controller of the term, monotonic. */
    private termSinceMs = -Infinity;
    /** When `run` was called, monotonic. */
    private runningSinceMs = -Infinity;
    /** When the upstreams of a service were last out of reach, monotonic. */
    private readonly unreachableUntilMs = new Map<string, number>();
    private readonly stability: FleetStabilityMonitor;
    private readonly memberChecker: MemberChecker;

    private constructor(private readonly options: FleetControllerOptions) {
        this.health = UpstreamHealth.create(options);
        this.stability = FleetStabilityMonitor.create(options);
        this.memberChecker = MemberChecker.create({
            ...options,
            health: this.health,
            isReachable: (group, sinceMs) => this.isReachable(group, sinceMs),
        });
    }

    /** Creates a controller. It acts only after `run` was called and while this gateway holds the lease. */
    static create(options: FleetControllerOptions): FleetController {
        return new FleetController(options);
    }

    /** Returns the groups that opened recently, or all open groups while the view of upstreams is out of date. */
    recentlyOpened(): OpenGroup[] {
        const sinceMs = this.options.isViewFresh() ? this.nowMs() - OPEN_ANNOUNCEMENT_MS : -Infinity;
        return [...this.groups.values()]
            .filter(({ phase, phaseSinceMs }) => phase === "open" && phaseSinceMs >= sinceMs)
            .map(({ members, name, epoch, model }) => ({ head: members[0]?.id ?? "", name, epoch, model: model.name }));
    }

    /** Runs reconcile passes until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, lease } = this.options;
        this.runningSinceMs = this.nowMs();
        while (!signal.aborted) {
            if (lease.isController) {
                this.reconcile();
            }
            else if (this.term !== 0) {
                this.stepDown();
            }
            await clock.sleep(lease.isController ? RECONCILE_INTERVAL_MS : LEASE_POLL_INTERVAL_MS, signal);
        }
    }

    private stepDown(): void {
        this.options.log.info("no longer the controller", { term: this.term });
        this.term = 0;
        this.groups = new Map();
        this.dissolvedEpochs.clear();
        this.options.upstreams.forgetOrders();
        this.health.clear();
    }

    private reconcile(): void {
        const { lease, log, configuration } = this.options;
        if (lease.term !== this.term) {
            this.stepDown();
            this.term = lease.term;
            this.termSinceMs = this.nowMs();
            this.options.epochs.start(this.term);
            log.info("acting as the controller", { term: this.term });
        }
        this.quarantineReplacedBefore();
        this.stability.update();
        for (const [service, { engine }] of configuration.current?.services ?? []) {
            if (!engine || !this.updateReachability(service)) {
                continue;
            }
            const view = this.viewOf(service, engine);
            this.adoptGroups(view);
            [...this.groups.values()].filter(item => item.service === service && this.isReachable(item)).forEach(
                item => this.advance(view, item),
            );
            this.releaseNonMembers(view);
            this.formNewGroups(view);
            this.options.standbyPool.prepareSpares(
                service,
                engine,
                this.freeUpstreams(view),
                this.groups,
                () => this.options.epochs.next(),
            );
        }
    }

    /** Returns false while no upstream of a service seems to respond. */
    private updateReachability(service: string): boolean {
        if (!this.options.isServiceReachable(service)) {
            this.unreachableUntilMs.set(service, this.nowMs());
            return false;
        }
        return true;
    }

    /** Takes over groups that an earlier controller formed, as their members' registrations show them. */
    private adoptGroups(view: ServiceView): void {
        for (const group of view.observed.values()) {
            const head = group.members.get(0);
            const known = this.groups.get(group.name);
            if (known?.epoch === group.epoch) {
                this.addReturnedMembers(known, group);
            }
            if (standbyGroups.isStandby(group.name) || (known && known.epoch >= group.epoch)) {
                continue;
            }
            const anyMember = head ?? [...group.members.values()][0];
            const model = view.engine.models.find(item => item.name === anyMember?.model)
                ?? view.engine.models.find(item => group.name.endsWith(groupSuffix(item)));
            if (!anyMember || !model) {
                continue;
            }
            const members = membersByRank(group);
            const isDissolved = group.epoch <= (this.dissolvedEpochs.get(group.name) ?? 0);
            if (isDissolved && members.length < model.memberCount) {
                // Its other members have left; the remaining ones are released once they respond.
                continue;
            }
            const adopted: ManagedGroup = {
                name: group.name,
                service: view.service,
                domain: anyMember.domain,
                model,
                epoch: group.epoch,
                members,
                isHeadMissing: head === undefined,
                isAwaitingMembers: members.length < model.memberCount,
                phase: adoptedPhase(head),
                phaseSinceMs: this.nowMs(),
                checkedAtMs: 0,
                isChecking: false,
            };
            this.options.log.info("group adopted", {
                group: group.name,
                epoch: group.epoch,
                members: members.length,
                of: model.memberCount,
                phase: head?.group?.phase,
            });
            this.groups.set(group.name, adopted);
            this.examineAdopted(view, adopted);
        }
    }

    /** Handles an adopted group that was reported lost. Its requests may end first, as under the earlier controller. */
    private examineAdopted(view: ServiceView, adopted: ManagedGroup): void {
        if (adopted.phase === "open" && this.options.isLost(adopted.epoch)) {
            this.suspectGroup(view, adopted, "the group was reported lost before and is back", new Set(), []);
        }
    }

    /** Adds members of a group's own epoch that have registered since it was adopted. */
    private addReturnedMembers(group: ManagedGroup, observed: ObservedGroup): void {
        const isIncomplete = group.phase === "incomplete";
        const members = membersByRank(observed).filter(member => !isIncomplete || this.health.isUsable(member));
        if (!(group.isAwaitingMembers || isIncomplete) || members.length <= group.members.length) {
            return;
        }
        const wasHeadMissing = group.isHeadMissing;
        group.members = members;
        group.isHeadMissing = !observed.members.has(0);
        group.isAwaitingMembers = group.members.length < group.model.memberCount;
        this.options.log.info("group members registered again", {
            group: group.name,
            epoch: group.epoch,
            members: group.members.length,
            of: group.model.memberCount,
        });
        if (group.phase === "closing" && wasHeadMissing && !group.isHeadMissing) {
            this.setPhase(group, adoptedPhase(observed.members.get(0)));
        }
    }

    /**
     * Handles an adopted group with members that are not registered, which may be sound: events show that all its members
     * work, and silence that one does not. A member that leaves works until it has left.
     */
    private advanceAwaiting(view: ServiceView, group: ManagedGroup): void {
        const isReturnDue = this.nowMs() - this.options.upstreams.lastMemberAddedAtMs < MEMBER_RETURN_GRACE_MS;
        const isWhole = this.isServing(group) && this.nowMs() - group.phaseSinceMs < UNLISTED_TIMEOUT_MS;
        if (group.phase === "open" && (isReturnDue || isWhole) && !this.headFailure(group)) {
            this.checkMembers(view, group);
            return;
        }
        if (isReturnDue) {
            return;
        }
        group.isAwaitingMembers = false;
        if (group.phase === "open" && !this.headFailure(group)) {
            this.startClosing(group, this.currentHead(group), "a member is not registered");
        }
        else if (group.phase === "joining") {
            this.reform(view, group, "a member is not registered", new Set());
        }
    }

    private isReachable(group: ManagedGroup, sinceMs?: number): boolean {
        return this.options.isServiceReachable(group.service)
            && group.members.every(member => this.options.isZoneReachable(member.zone, sinceMs));
    }

    private advance(view: ServiceView, group: ManagedGroup): void {
        if (group.isAwaitingMembers && group.phase !== "lost") {
            this.advanceAwaiting(view, group);
            return;
        }
        this.phaseHandlers[group.phase](view, group);
    }

    private readonly phaseHandlers: Record<ManagedGroup["phase"], (view: ServiceView, group: ManagedGroup) => void> = {
        joining: (view, group) => this.advanceJoining(view, group),
        opening: (view, group) => this.advanceOpening(view, group),
        open: (view, group) => this.advanceOpen(view, group),
        closing: (view, group) => this.advanceClosing(view, group),
        lost: (view, group) => this.advanceLost(view, group),
        incomplete: (view, group) => this.advanceIncomplete(view, group),
    };

    private advanceJoining(view: ServiceView, group: ManagedGroup): void {
        const unusable = group.members.filter(member => !this.health.isUsable(member));
        if (unusable.length > 0) {
            this.reform(view, group, "a member became unusable while joining", idsOf(unusable));
            return;
        }
        const current = group.members.map(member => this.options.upstreams.get(member.id));
        this.refreshFromReports(group, this.overdueMembers(group, 0));
        if (current.every(member => isReadyIn(member, group))) {
            this.setPhase(group, "opening");
            void this.openGroup(group);
            return;
        }
        const ageMs = this.nowMs() - group.phaseSinceMs;
        const rejecting = this.replaceableRejectingMembers(view, group);
        if (group.hasRejectedJoin && (rejecting.size > 0 || ageMs > rejectedJoinDelayMs(group))) {
            this.reform(view, group, "a join was rejected", rejecting);
            return;
        }
        const unjoined = group.members.filter((member, rank) =>
            current[rank]?.group?.epoch !== group.epoch && !this.options.orders.isBusy(member)
        );
        if (
            ageMs > JOIN_CHECK_AFTER_MS && unjoined.length > 0
            && this.memberChecker.isCheckDue(group, CHECK_INTERVAL_MS)
        ) {
            void this.memberChecker.check(group, unjoined, undefined).then(failed => {
                if (!this.isCurrent(group, "joining")) {
                    return;
                }
                if (failed.size > 0) {
                    const excluded = new Set(failed.keys());
                    this.reform(this.freshView(view), group, "a member does not respond", excluded);
                }
                else {
                    this.orderJoins(group, unjoined);
                }
            });
        }
    }

    /**
     * Returns the members that have rejected their join if there are others with the weights for them, or if they have
     * rejected two in a row: they must not keep the rest of the group waiting.
     */
    private replaceableRejectingMembers(view: ServiceView, group: ManagedGroup): Set<string> {
        const rejecting = group.members.filter(member => this.health.isRejecting(member));
        const spares = this.freeUpstreams(view).filter(upstream =>
            upstream.domain === group.domain && hasWeights(upstream, group.model)
        );
        const isReplaceable = spares.length >= rejecting.length || (group.consecutiveRejections ?? 0) > 0;
        return isReplaceable ? idsOf(rejecting) : new Set();
    }

    private async openGroup(group: ManagedGroup): Promise<void> {
        const head = group.members[0];
        if (head) {
            const { name, epoch } = group;
            await this.options.orders.send(head, { kind: "open", group: name, epoch });
        }
    }

    private advanceOpening(view: ServiceView, group: ManagedGroup): void {
        const unusable = group.members.filter(member => !this.health.isUsable(member));
        if (unusable.length > 0) {
            this.reform(view, group, "a member became unusable while opening", idsOf(unusable));
            return;
        }
        const head = this.currentHead(group);
        const ageMs = this.nowMs() - group.phaseSinceMs;
        this.refreshFromReports(group, head && ageMs > view.engine.formationMs ? [head] : []);
        if (head?.group?.epoch === group.epoch && head.group.phase === "open") {
            this.recordOpen(group);
            this.setPhase(group, "open");
            this.options.announceOpen();
        }
        else if (ageMs > OPEN_RETRY_AFTER_MS && head && !this.options.orders.isBusy(head)) {
            this.setPhase(group, "joining");
        }
    }

    private recordOpen(group: ManagedGroup): void {
        const { log, metrics } = this.options;
        const { name, epoch, lostAtMs } = group;
        const durations = lostAtMs === undefined ? undefined : {
            repairMs: this.nowMs() - lostAtMs,
            ...repairSteps.until(group, this.nowMs()),
        };
        log.info("group open", { group: name, epoch, ...durations });
        repairHistograms.forEach(([histogram, field]) => {
            const durationMs = durations?.[field];
            if (durationMs !== undefined) {
                metrics.observe(histogram, durationMs);
            }
        });
        group.lostAtMs = undefined;
        group.repairDurations = undefined;
    }

    /**
     * Requests reports from members whose registrations do not show what they should have done by now, and from all members
     * while the store does not keep the view of upstreams up to date.
     */
    private refreshFromReports(managed: ManagedGroup, overdue: readonly Upstream[]): void {
        const { upstreams, orders, isViewFresh } = this.options;
        const members = isViewFresh() ? overdue : managed.members;
        if (members.length === 0 || this.nowMs() - (managed.reportsRequestedAtMs ?? -Infinity) < REPORT_INTERVAL_MS) {
            return;
        }
        managed.reportsRequestedAtMs = this.nowMs();
        for (const member of members) {
            void orders.fetchReport(member).then(report => {
                const current = upstreams.get(member.id);
                if (report.kind !== "reported" || current?.startedAtMs !== report.startedAtMs) {
                    return;
                }
                if (!isViewFresh()) {
                    upstreams.replaceByReport(current, report);
                }
                else if (report.group?.epoch === managed.epoch && this.groups.get(managed.name) === managed) {
                    upstreams.recordProgress(current, report);
                }
            });
        }
    }

    /** Returns the members that should be ready by now but are not registered so. */
    private overdueMembers(group: ManagedGroup, marginMs: number): Upstream[] {
        const ageMs = this.nowMs() - group.phaseSinceMs;
        return group.members.filter(member =>
            !isReadyIn(this.options.upstreams.get(member.id), group) && ageMs > joinMs(member, group.model) + marginMs
        );
    }

    private advanceOpen(view: ServiceView, group: ManagedGroup): void {
        const head = this.currentHead(group);
        if (!head && this.isServing(group)) {
            this.startClosing(group, head, "the head is no longer registered");
            return;
        }
        const failure = this.headFailure(group);
        if (failure) {
            this.loseGroup(view, group, failure);
            return;
        }
        if (!head) {
            this.suspectGroup(view, group, "the head is no longer registered", new Set(), []);
            return;
        }
        if (head.group?.phase === "closing") {
            this.setPhase(group, "closing");
            return;
        }
        const draining = group.members.filter(member => this.options.upstreams.get(member.id)?.state === "draining");
        group.drainSinceMs = draining.length > 0 ? group.drainSinceMs ?? this.nowMs() : undefined;
        if (draining.length > 0 && (head.state === "draining" || this.mayReplaceDraining(group))) {
            this.startClosing(group, head, "a member is draining");
            return;
        }
        this.checkMembers(view, group);
    }

    /** Checks members that may be unreachable because the group is silent or their registrations are missing. */
    private checkMembers(view: ServiceView, group: ManagedGroup): void {
        const load = this.options.loads.totalLoad(String(group.epoch));
        const ageMs = this.openAgeMs(group);
        const failure = this.memberFailure(group);
        if (failure) {
            this.loseGroup(view, group, failure);
            return;
        }
        const silenceMs = SILENCE_BEFORE_CHECK_MS + this.options.loadLagMs();
        // Silence from before the upstreams could be reached again is not the group's.
        const reachableMs = this.nowMs() - (this.unreachableUntilMs.get(group.service) ?? -Infinity);
        const isSilent = load.inFlight > 0 && Math.min(load.silentMs, reachableMs) > silenceMs && ageMs > silenceMs;
        const unlisted = group.members.filter(member => !this.options.upstreams.get(member.id));
        const isDue = isSilent
            ? this.memberChecker.isCheckDue(group, CHECK_INTERVAL_MS)
            : unlisted.length > 0 && this.memberChecker.isCheckDue(group, UNLISTED_CHECK_INTERVAL_MS);
        if (!isDue) {
            return;
        }
        const toCheck = isSilent ? group.members : unlisted;
        const epoch = ageMs > EPOCH_CHECK_MIN_AGE_MS ? group.epoch : undefined;
        this.options.log.info("checking group members", {
            group: group.name,
            epoch: group.epoch,
            silentMs: Math.round(load.silentMs),
            inFlight: load.inFlight,
            unlisted: unlisted.length,
        });
        void this.memberChecker.check(group, toCheck, epoch).then(failed => {
            if (!this.isCurrent(group, "open")) {
                return;
            }
            const isSilentTooLong = isSilent && this.isReachable(group) && reachableMs > MAX_SILENCE_MS
                && this.options.loads.totalLoad(String(group.epoch)).silentMs > MAX_SILENCE_MS;
            const fresh = this.freshView(view);
            const slow = this.replaceableSlowMembers(fresh, group);
            if (failed.size > 0 && unlisted.length > 0 && this.isServing(group)) {
                // A member that leaves stays until the group's requests have ended, but may not respond any more.
                this.startClosing(group, this.currentHead(group), "a member has left");
            }
            else if (this.isCertain(failed)) {
                const excluded = new Set([...failed.keys(), ...slow]);
                this.loseGroup(fresh, group, { reason: "members do not answer", excluded });
            }
            else if (failed.size > 0 || isSilentTooLong) {
                const reason = failed.size > 0 ? "members do not answer" : "silent though all members answer";
                this.suspectGroup(fresh, group, reason, slow, group.members.filter(({ id }) => failed.has(id)));
            }
            else if (slow.size > 0) {
                this.suspectGroup(fresh, group, "members are slow", slow, []);
            }
        });
    }

    /**
     * Returns the slow members of a group if its domain has enough spares with the model in memory to replace all of
     * them.
     */
    private replaceableSlowMembers(view: ServiceView, group: ManagedGroup): Set<string> {
        const slow = group.members.filter(({ id }) => this.health.isSlow(id) || group.loss?.slow.has(id));
        const spares = this.freeUpstreams(view).filter(upstream =>
            upstream.domain === group.domain && upstream.model === group.model.name
            && !this.health.isSlow(upstream.id)
        );
        return spares.length >= slow.length ? idsOf(slow) : new Set();
    }

    /** Returns true if enough other groups of the model serve, or if the draining member will leave soon. */
    private mayReplaceDraining(group: ManagedGroup): boolean {
        if (this.nowMs() - (group.drainSinceMs ?? 0) > DRAIN_TIMEOUT_MS) {
            return true;
        }
        const ofModel = [...this.groups.values()].filter(item =>
            item.service === group.service && item.model.name === group.model.name
        );
        const unavailable = ofModel.filter(item => item.phase !== "open").length;
        return unavailable < Math.max(1, Math.floor(ofModel.length * MAX_UNAVAILABLE_SHARE));
    }

    /** Returns true if a failed check shows that the group cannot serve any more; a silent member may respond later. */
    private isCertain(failed: ReadonlyMap<string, MemberFailure>): boolean {
        // A member that leaves as announced refuses connections while its head still has work.
        return [...failed].some(([id, { kind }]) =>
            kind === "replaced" || (kind === "refused" && this.options.upstreams.get(id)?.state === "ready")
        );
    }

    /** Returns how the registration of a group's head shows that the group cannot serve any more. */
    private headFailure(group: ManagedGroup): GroupFailure | undefined {
        const head = this.currentHead(group);
        if (!head) {
            return undefined;
        }
        if (head.startedAtMs !== group.members[0]?.startedAtMs) {
            return { reason: "the head has restarted", excluded: new Set([head.id]) };
        }
        const phase = head.group?.epoch === group.epoch ? head.group.phase : "another epoch";
        return phase === "open" || phase === "closing"
            ? undefined
            : { reason: `the head says ${phase}`, excluded: new Set() };
    }

    /** Returns how the registrations of a group's members show that the group cannot serve any more. */
    private memberFailure(group: ManagedGroup): GroupFailure | undefined {
        const hasChanged = group.members.some(member => {
            const current = this.options.upstreams.get(member.id);
            return current && (current.startedAtMs !== member.startedAtMs || current.group?.epoch !== group.epoch);
        });
        return hasChanged && this.openAgeMs(group) > EPOCH_CHECK_MIN_AGE_MS
            ? { reason: "a member has restarted or left", excluded: new Set() }
            : undefined;
    }

    /** Returns the time since the group has opened. */
    private openAgeMs(group: ManagedGroup): number {
        return this.nowMs() - (group.loss?.openSinceMs ?? group.phaseSinceMs);
    }

    /** Returns true if a join of the group's members would end requests whose callers still wait for them. */
    private isInUse(group: ManagedGroup): boolean {
        const { inFlight, silentMs } = this.options.loads.totalLoad(String(group.epoch));
        if (this.nowMs() - this.runningSinceMs < LOAD_DISCOVERY_MS) {
            return true;
        }
        return inFlight > 0 && silentMs < ABANDONED_AFTER_MS + this.options.loadLagMs()
            && this.nowMs() - group.phaseSinceMs < MAX_DRAIN_MS;
    }

    private hasRequests(group: ManagedGroup): boolean {
        return this.options.loads.totalLoad(String(group.epoch)).inFlight > 0;
    }

    /** Returns true if the group's requests have received events until now. */
    private isServing(group: ManagedGroup): boolean {
        const { inFlight, silentMs } = this.options.loads.totalLoad(String(group.epoch));
        return inFlight > 0 && silentMs <= SILENCE_BEFORE_CHECK_MS + this.options.loadLagMs();
    }

    /** Lets the requests of a group end before it is re-formed; a head that is not registered gets no new ones. */
    private startClosing(group: ManagedGroup, head: Upstream | undefined, reason: string): void {
        this.options.log.info("closing group", { group: group.name, epoch: group.epoch, reason });
        this.setPhase(group, "closing");
        this.orderClose(group, head);
    }

    /** Orders an open head to close its group, again if the head was busy or the order had no effect. */
    private orderClose(group: ManagedGroup, head: Upstream | undefined): void {
        const { orders } = this.options;
        const isDue = this.nowMs() - (group.closeOrderedAtMs ?? -Infinity) > CLOSE_RETRY_AFTER_MS;
        if (head?.group?.phase === "open" && isDue && !orders.isBusy(head)) {
            group.closeOrderedAtMs = this.nowMs();
            void orders.send(head, { kind: "close", group: group.name, epoch: group.epoch });
        }
    }

    private advanceClosing(view: ServiceView, group: ManagedGroup): void {
        const head = this.currentHead(group);
        const isClosed = this.headFailure(group) !== undefined;
        const isAbandoned = !this.isInUse(group)
            && (!head || this.hasRequests(group) || this.nowMs() - group.phaseSinceMs > CLOSE_TIMEOUT_MS);
        if (isClosed || isAbandoned) {
            group.lostAtMs ??= group.phaseSinceMs;
            this.reform(view, group, "a member is draining", new Set());
            return;
        }
        this.orderClose(group, head);
    }

    private advanceIncomplete(view: ServiceView, group: ManagedGroup): void {
        if (this.reform(view, group, "free upstreams are available again", new Set())) {
            return;
        }
        // Members that restart are not awaited: they can join the next group as quickly as this one, while the others serve.
        const quarantined = this.availableUpstreams(view).filter(({ domain }) => domain === group.domain);
        if (this.stayingMembers(group, new Set()).length + quarantined.length < group.model.memberCount) {
            this.dissolve(group);
        }
    }

    /** Re-forms a group that certainly cannot serve any more. */
    private loseGroup(view: ServiceView, group: ManagedGroup, { reason, excluded }: GroupFailure): void {
        this.announceLoss(group, reason);
        this.reform(view, group, reason, excluded);
    }

    /**
     * Keeps new requests from a group that may have failed, and re-forms it once those in flight have ended elsewhere or
     * there: the joins of its members end them, although the group may have been silent only for a moment.
     */
    private suspectGroup(
        view: ServiceView,
        group: ManagedGroup,
        reason: string,
        slow: ReadonlySet<string>,
        silent: readonly Upstream[],
    ): void {
        this.announceLoss(group, reason);
        group.loss = { reason, slow, silent, openSinceMs: group.phaseSinceMs, announcedAtMs: this.nowMs() };
        this.setPhase(group, "lost");
        this.advanceLost(view, group);
    }

    private announceLoss(group: ManagedGroup, reason: string): void {
        this.options.metrics.count("groupsLost", reason);
        if (group.lostAtMs === undefined) {
            const { inFlight, silentMs } = this.options.loads.totalLoad(String(group.epoch));
            group.lostAtMs = this.nowMs();
            group.repairDurations = repairSteps.detectedAfter(inFlight > 0 ? Math.round(silentMs) : 0);
        }
        this.options.announceLost(group.epoch, reason);
    }

    private advanceLost(view: ServiceView, group: ManagedGroup): void {
        const { loss } = group;
        if (!loss) {
            return;
        }
        const failure = this.headFailure(group) ?? this.memberFailure(group);
        if (failure || !this.isInUse(group)) {
            const slow = this.replaceableSlowMembers(view, group);
            this.reform(view, group, loss.reason, new Set([...slow, ...failure?.excluded ?? []]));
            return;
        }
        if (this.nowMs() - loss.announcedAtMs > LOSS_ANNOUNCEMENT_INTERVAL_MS) {
            loss.announcedAtMs = this.nowMs();
            this.options.announceLost(group.epoch, loss.reason);
        }
        if (loss.silent.length === 0 || !this.memberChecker.isCheckDue(group, CHECK_INTERVAL_MS)) {
            return;
        }
        const epoch = this.openAgeMs(group) > EPOCH_CHECK_MIN_AGE_MS ? group.epoch : undefined;
        void this.memberChecker.check(group, loss.silent, epoch).then(failed => {
            if (!this.isCurrent(group, "lost")) {
                return;
            }
            if (this.isCertain(failed)) {
                const fresh = this.freshView(view);
                const slow = this.replaceableSlowMembers(fresh, group);
                this.reform(fresh, group, loss.reason, new Set([...failed.keys(), ...slow]));
                return;
            }
            loss.silent = loss.silent.filter(({ id }) => failed.has(id));
        });
    }

    /** Returns the members that can be part of a group when it is formed again. */
    private stayingMembers(group: ManagedGroup, excluded: ReadonlySet<string>): Upstream[] {
        return group.members
            .filter(member => !excluded.has(member.id) && this.health.isUsable(member))
            .filter(member => !this.mayBelongElsewhere(member, group.name))
            .map(member => this.options.upstreams.get(member.id) ?? member);
    }

    /** Re-forms a group under the same name with a higher epoch. Returns false if its domain has too few usable VMs. */
    private reform(view: ServiceView, group: ManagedGroup, reason: string, excluded: ReadonlySet<string>): boolean {
        const staying = this.stayingMembers(group, excluded);
        const free = this.freeUpstreams(view).filter(upstream => upstream.domain === group.domain);
        const notSlow = free.filter(upstream => !this.health.isSlow(upstream.id));
        const { name: modelName, memberCount } = group.model;
        const members = chooseMembers(modelName, memberCount, staying, notSlow)
            ?? chooseMembers(modelName, memberCount, staying, free);
        if (!members) {
            this.markIncomplete(group, staying, reason);
            return false;
        }
        const loadCount = members.filter(member => !hasWeights(member, group.model)).length;
        if (loadCount > 0 && !this.options.weightLoadLimiter.tryAcquire(loadCount, view.engine.weightLoadsPerSecond)) {
            this.markIncomplete(group, staying, "the load rate of the weight store is exhausted");
            return true;
        }
        const formerHeads = [...this.waitingHeads(group), this.quarantineReplaced(group, members)];
        const consecutiveRejections = group.hasRejectedJoin ? (group.consecutiveRejections ?? 0) + 1 : 0;
        const { name, domain, model, lostAtMs } = group;
        const repairDurations = repairSteps.until(group, this.nowMs());
        this.startFormation(view.service, name, domain, model, members, reason, {
            lostAtMs,
            repairDurations,
            consecutiveRejections,
            formerHeads,
        });
        return true;
    }

    /** Returns the heads of a group's earlier epochs that may still serve with its members. */
    private waitingHeads({ formerHeads = [] }: ManagedGroup): FormerHead[] {
        return formerHeads.filter(({ untilMs, hasLeft }) => this.nowMs() < untilMs && !hasLeft());
    }

    /**
     * Keeps replaced members from joining another group while the head may still serve with them: until the head has
     * accepted its own order, or must have given the group up.
     */
    private quarantineReplaced(group: ManagedGroup, members: readonly Upstream[]): FormerHead {
        const untilMs = this.headsWaitUntilMs(this.nowMs());
        const kept = idsOf(members);
        const { epoch } = group;
        const head = headOf(group);
        const hasLeft = () => {
            const current = this.options.upstreams.get(head?.id ?? "");
            return current !== undefined
                && (current.startedAtMs !== head?.startedAtMs || current.group?.epoch !== epoch);
        };
        group.members.filter(member => member !== head && !kept.has(member.id)).forEach(member =>
            this.health.quarantine(member, untilMs, hasLeft)
        );
        return { untilMs, hasLeft };
    }

    /** Keeps an upstream from joining another group that an earlier controller may have replaced, with an unknown head. */
    private quarantineUnknown(upstream: Upstream): void {
        const untilMs = this.headsWaitUntilMs(this.nowMs());
        this.health.quarantine(upstream, untilMs, () => false);
    }

    /**
     * Quarantines upstreams without a group that an earlier controller may have replaced or released: the head of the group
     * that they have left may still wait for them, and may have no registration. Nothing is left to wait for once each head
     * must have given up the groups of the earlier controller. Before the first term, there was none.
     */
    private quarantineReplacedBefore(): void {
        const untilMs = this.headsWaitUntilMs(this.termSinceMs);
        if (this.term === FIRST_TERM || this.nowMs() >= untilMs) {
            return;
        }
        for (const upstream of this.options.upstreams.all()) {
            if (!upstream.group && upstream.stagedModels.length > 0 && !this.health.hasQuarantine(upstream)) {
                this.health.quarantine(upstream, untilMs, () => false);
            }
        }
    }

    /** Reserves the remaining members until the group can be re-formed or is dissolved. */
    private markIncomplete(group: ManagedGroup, staying: readonly Upstream[], reason: string): void {
        if (group.phase === "incomplete") {
            return;
        }
        const { name, model } = group;
        this.options.log.info("group incomplete", {
            group: name,
            reason,
            staying: staying.length,
            of: model.memberCount,
        });
        const incomplete: ManagedGroup = { ...group, members: staying, isAwaitingMembers: false };
        this.groups.set(name, incomplete);
        this.setPhase(incomplete, "incomplete");
    }

    private startFormation(
        service: string,
        name: string,
        domain: string,
        model: ModelProfile,
        members: readonly Upstream[],
        reason: string,
        previous: Pick<ManagedGroup, "lostAtMs" | "repairDurations" | "consecutiveRejections" | "formerHeads"> = {},
    ): void {
        const epoch = this.options.epochs.next();
        const group: ManagedGroup = {
            name,
            service,
            domain,
            model,
            epoch,
            members,
            phase: "joining",
            phaseSinceMs: this.nowMs(),
            ...previous,
            checkedAtMs: 0,
            isChecking: false,
        };
        this.groups.set(name, group);
        const ids = members.map(member => member.id).join(" ");
        this.options.log.info("group formation started", {
            group: name,
            epoch,
            model: model.name,
            reason,
            members: ids,
        });
        this.orderJoins(group, members);
    }

    private orderJoins(group: ManagedGroup, members: readonly Upstream[]): void {
        const { name, epoch, model } = group;
        const ids = group.members.map(member => member.id);
        for (const member of members) {
            void this.options.orders
                .send(member, { kind: "join", group: name, epoch, model: model.name, members: ids })
                .then(outcome => {
                    if (outcome === "unresponsive") {
                        this.health.markUnresponsive(member);
                    }
                    if (outcome === "outdated") {
                        this.withdrawOutdated(group, member);
                    }
                    if (outcome === "rejected") {
                        // The member has seen a higher epoch or accepted another order first. Another member replaces
                        // it if there is one; otherwise re-forming with a new epoch helps.
                        group.hasRejectedJoin = true;
                        this.health.markRejecting(member);
                    }
                });
        }
    }

    /**
     * Stops the formation of a group that was decided from registrations older than its members' state. A newer group of
     * the same name is adopted then; a member of another group is replaced.
     */
    private withdrawOutdated(group: ManagedGroup, member: Upstream): void {
        if (!this.isCurrent(group, "joining")) {
            return;
        }
        if (this.options.upstreams.get(member.id)?.group?.name === group.name) {
            this.options.log.info("group formation withdrawn", { group: group.name, epoch: group.epoch });
            this.groups.delete(group.name);
        }
        else {
            group.hasRejectedJoin = true;
        }
    }

    /** Returns true for a member of a serving group of another name, and for one that has left such a group recently. */
    private mayBelongElsewhere(upstream: Upstream, name: string): boolean {
        const group = this.options.upstreams.get(upstream.id)?.group;
        return group
            ? group.name !== name && !standbyGroups.isStandby(group.name)
            : this.health.isQuarantined(upstream);
    }

    /** Gives up a group whose domain has too few VMs, and frees its members. */
    private dissolve(group: ManagedGroup): void {
        this.options.log.info("group dissolved", { group: group.name, epoch: group.epoch });
        this.groups.delete(group.name);
        this.dissolvedEpochs.set(group.name, group.epoch);
        const observed = observeGroups(this.options.upstreams.all()).get(group.name);
        if (observed) {
            void this.releaseMembers(observed, () => this.waitingHeads(group).length > 0);
        }
    }

    /**
     * Orders all members to leave a group, the head first. They stay quarantined until the head and those of earlier epochs
     * have left or must have given the group up.
     */
    private async releaseMembers(
        { name, epoch, members }: ObservedGroup,
        isFormerHeadWaiting: () => boolean,
    ): Promise<void> {
        const { orders } = this.options;
        const head = members.get(0);
        const others = [...members.values()].filter(member => member !== head);
        const otherKeys = others.map(instanceKeyOf);
        const untilMs = this.headsWaitUntilMs(this.nowMs());
        let hasLeft = false;
        const hasHeadLeft = () => hasLeft || (head !== undefined && this.health.hasEnded(head));
        others.forEach(member =>
            this.health.quarantine(member, untilMs, () => hasHeadLeft() && !isFormerHeadWaiting())
        );
        if (head) {
            this.health.quarantine(head, untilMs, () => !isFormerHeadWaiting());
        }
        otherKeys.forEach(key => this.releasing.add(key));
        const leave = { kind: "leave", group: name, epoch } as const;
        hasLeft = head !== undefined && this.health.isUsable(head)
            && await orders.send(head, leave) === "completed";
        await Promise.all(others.filter(item => this.health.isUsable(item)).map(member => orders.send(member, leave)));
        otherKeys.forEach(key => this.releasing.delete(key));
    }

    /** Orders upstreams to leave groups of which the controller does not regard them as members. */
    private releaseNonMembers(view: ServiceView): void {
        for (const upstream of view.upstreams) {
            const { group } = upstream;
            const isBeingReleased = this.releasing.has(instanceKeyOf(upstream)) || this.options.orders.isBusy(upstream);
            if (!group || standbyGroups.isStandby(group.name) || isBeingReleased) {
                continue;
            }
            const managed = this.groups.get(group.name);
            const belongs = managed?.members.some(member => member.id === upstream.id);
            if (belongs || !this.health.isUsable(upstream)) {
                continue;
            }
            if (group.rank !== 0 && !this.health.hasQuarantine(upstream)) {
                this.quarantineUnknown(upstream);
            }
            this.options.log.info("upstream released", {
                upstream: upstream.id,
                group: group.name,
                epoch: group.epoch,
                currentEpoch: managed?.epoch,
            });
            void this.options.orders.send(upstream, { kind: "leave", group: group.name, epoch: group.epoch });
        }
    }

    private formNewGroups(view: ServiceView): void {
        const { engine, service } = view;
        const free = this.freeUpstreams(view);
        const byDomain = groupBy(free, upstream => upstream.domain);
        const counts = new Map<string, number>();
        for (const group of this.groups.values()) {
            if (group.service === service && group.phase !== "incomplete") {
                counts.set(group.model.name, (counts.get(group.model.name) ?? 0) + 1);
            }
        }
        const largest = Math.max(...engine.models.map(model => model.memberCount));
        const countIn = (domain: string, isLargest: boolean) =>
            [...this.groups.values()].filter(group =>
                group.service === service && group.domain === domain
                && (group.model.memberCount === largest) === isLargest
            ).length;
        const domains = [...byDomain].map(([domain, members]) => ({
            domain,
            zone: members[0]?.zone,
            freeCount: members.length,
            largestGroupCount: countIn(domain, true),
            smallerGroupCount: countIn(domain, false),
        }));
        const groups = [...this.groups.values()].filter(group => group.service === service);
        const demand = this.options.demandPlanner?.update(service, engine.models, groups, view.upstreams);
        for (const planned of planGroups(engine.models, counts, domains, this.stability.isStable, demand)) {
            const model = engine.models.find(item => item.name === planned.model);
            const inDomain = this.freeUpstreams(view).filter(upstream => upstream.domain === planned.domain);
            const members = model && chooseMembers(model.name, model.memberCount, [], inDomain);
            if (!model || !members) {
                continue;
            }
            const loadCount = members.filter(member => !member.stagedModels.includes(model.name)).length;
            if (!this.tryAcquireLoads(engine, loadCount)) {
                return;
            }
            const name = this.unusedName(planned.domain, model);
            this.startFormation(service, name, planned.domain, model, members, "planned");
        }
    }

    private tryAcquireLoads(engine: EngineProfile, count: number): boolean {
        if (count === 0) {
            return true;
        }
        const loading = [...this.groups.values()].filter(item => item.phase === "joining").reduce(
            (sum, item) => sum + item.members.length,
            0,
        );
        const exceedsLimit = loading > 0 && loading + count > engine.concurrentWeightLoads * CONCURRENT_LOADS_FACTOR;
        return !exceedsLimit && this.options.weightLoadLimiter.tryAcquire(count, engine.weightLoadsPerSecond);
    }

    private unusedName(domain: string, model: ModelProfile): string {
        for (let index = 1;; index++) {
            const name = `${domain}.${index}${groupSuffix(model)}`;
            if (!this.groups.has(name)) {
                return name;
            }
        }
    }

    /** Returns the upstreams that may join a serving group: those in no group or only in their own standby group. */
    private freeUpstreams(view: ServiceView): Upstream[] {
        return this.availableUpstreams(view).filter(upstream => !this.health.isQuarantined(upstream));
    }

    /** Returns the upstreams that may join a serving group, now or once their quarantine ends. */
    private availableUpstreams(view: ServiceView): Upstream[] {
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

    /** Returns true if this gateway still is the controller and has not changed the group while it waited. */
    private isCurrent(group: ManagedGroup, phase: ManagedGroup["phase"]): boolean {
        return this.options.lease.isController && this.groups.get(group.name) === group && group.phase === phase;
    }

    private setPhase(group: ManagedGroup, phase: ManagedGroup["phase"]): void {
        group.repairDurations = repairSteps.until(group, this.nowMs());
        group.phase = phase;
        group.phaseSinceMs = this.nowMs();
    }

    /** Returns the current view, which may have changed while members were checked. */
    private freshView({ service, engine }: ServiceView): ServiceView {
        return this.viewOf(service, engine);
    }

    private viewOf(service: string, engine: EngineProfile): ServiceView {
        const upstreams = [...this.options.upstreams.all()].filter(upstream =>
            upstream.service === service && this.options.isZoneReachable(upstream.zone)
        );
        return { service, engine, upstreams, observed: observeGroups(upstreams) };
    }

    /** Returns the current registration of a group's head, or undefined if it is not registered. */
    private currentHead(group: ManagedGroup): Upstream | undefined {
        const head = headOf(group);
        return head && this.options.upstreams.get(head.id);
    }

    /** Returns when every head has given up a group that stands still since `sinceMs`, both monotonic. */
    private headsWaitUntilMs(sinceMs: number): number {
        return sinceMs + this.options.groupStallMs + STALL_MARGIN_MS;
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}

function rejectedJoinDelayMs({ consecutiveRejections }: ManagedGroup): number {
    return REJECTED_JOIN_DELAY_MS * 2 ** Math.min(consecutiveRejections ?? 0, 4);
}

function groupSuffix(model: ModelProfile): string {
    return `.${model.name}`;
}

function membersByRank({ members }: ObservedGroup): Upstream[] {
    return [...members].sort(([left], [right]) => left - right).map(([, member]) => member);
}

function headOf({ members, isHeadMissing }: ManagedGroup): Upstream | undefined {
    return isHeadMissing ? undefined : members[0];
}

/** Returns the phase of an adopted group. Without a head it accepts no requests, but may have some in flight. */
function adoptedPhase(head: Upstream | undefined): ManagedGroup["phase"] {
    if (!head || head.group?.phase === "closing") {
        return "closing";
    }
    return head.group?.phase === "open" || head.group?.phase === "broken" ? "open" : "joining";
}

/** Returns the usual duration of a member's join, which depends on where the model's weights are. */
function joinMs(member: Upstream, model: ModelProfile): number {
    if (member.model === model.name) {
        return WARM_JOIN_MS;
    }
    return member.stagedModels.includes(model.name) ? model.loadFromHostMs : model.loadFromStoreMs;
}

function hasWeights(upstream: Upstream, model: ModelProfile): boolean {
    return upstream.stagedModels.includes(model.name) || upstream.model === model.name;
}

function isReadyIn(member: Upstream | undefined, managed: ManagedGroup): boolean {
    const group = member?.group;
    return group !== undefined && group.name === managed.name && group.epoch === managed.epoch
        && (group.phase === "ready" || group.phase === "open");
}

function idsOf(members: readonly Upstream[]): Set<string> {
    return new Set(members.map(member => member.id));
}
