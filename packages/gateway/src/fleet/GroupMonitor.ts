import type { Upstream } from "../model/Upstream.js";
import type { FleetControllerOptions } from "./FleetControllerOptions.js";
import type { FleetState } from "./FleetState.js";
import type { GroupActivity } from "./GroupActivity.js";
import type { GroupFailure } from "./GroupFailure.js";
import type { GroupFormation } from "./GroupFormation.js";
import { idsOf } from "./idsOf.js";
import type { ManagedGroup } from "./ManagedGroup.js";
import type { MemberChecker } from "./MemberChecker.js";
import type { MemberFailure } from "./MemberFailure.js";
import { repairSteps } from "./repairSteps.js";
import type { ServiceView } from "./ServiceView.js";

/** Silence after which a group counts as lost even though all its members respond. */
const MAX_SILENCE_MS = 1500;
/** Time between announcements of a group that is lost and still has requests; much shorter than gateways exclude it. */
const LOSS_ANNOUNCEMENT_INTERVAL_MS = 3000;
/**
 * Minimum time between two checks of members whose registrations are missing; longer because every check has a cost.
 */
const UNLISTED_CHECK_INTERVAL_MS = 1500;
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
/**
 * An adopted group waits this long for members without a registration, counted from the last member that registered:
 * registrations that have lapsed while the store was unavailable are back within two seconds.
 */
const MEMBER_RETURN_GRACE_MS = 3000;

/** Watches open groups, and closes or gives up those that cannot go on. */
export class GroupMonitor {
    private constructor(
        private readonly options: FleetControllerOptions,
        private readonly state: FleetState,
        private readonly activity: GroupActivity,
        private readonly formation: GroupFormation,
        private readonly memberChecker: MemberChecker,
    ) {}

    /** Creates an instance. */
    static create(
        options: FleetControllerOptions,
        state: FleetState,
        activity: GroupActivity,
        formation: GroupFormation,
        memberChecker: MemberChecker,
    ): GroupMonitor {
        return new GroupMonitor(options, state, activity, formation, memberChecker);
    }

    /**
     * Handles an adopted group with members that are not registered, which may be sound: events show that all its members
     * work, and silence that one does not. A member that leaves works until it has left.
     */
    advanceAwaiting(view: ServiceView, group: ManagedGroup): void {
        const isReturnDue = this.state.nowMs() - this.options.upstreams.lastMemberAddedAtMs < MEMBER_RETURN_GRACE_MS;
        const isWhole = this.activity.isServing(group) && this.state.nowMs() - group.phaseSinceMs < UNLISTED_TIMEOUT_MS;
        if (group.phase === "open" && (isReturnDue || isWhole) && !this.activity.headFailure(group)) {
            this.checkMembers(view, group);
            return;
        }
        if (isReturnDue) {
            return;
        }
        group.isAwaitingMembers = false;
        if (group.phase === "open" && !this.activity.headFailure(group)) {
            this.startClosing(group, this.state.currentHead(group), "a member is not registered");
        }
        else if (group.phase === "joining") {
            this.formation.reform(view, group, "a member is not registered", new Set());
        }
    }

    /** Looks for signs that an open group has failed or has to be closed. */
    advanceOpen(view: ServiceView, group: ManagedGroup): void {
        const head = this.state.currentHead(group);
        if (!head && this.activity.isServing(group)) {
            this.startClosing(group, head, "the head is no longer registered");
            return;
        }
        const failure = this.activity.headFailure(group);
        if (failure) {
            this.loseGroup(view, group, failure);
            return;
        }
        if (!head) {
            this.suspectGroup(view, group, "the head is no longer registered", new Set(), []);
            return;
        }
        if (head.group?.phase === "closing") {
            this.state.setPhase(group, "closing");
            return;
        }
        const draining = group.members.filter(member => this.options.upstreams.get(member.id)?.state === "draining");
        group.drainSinceMs = draining.length > 0 ? group.drainSinceMs ?? this.state.nowMs() : undefined;
        if (draining.length > 0 && (head.state === "draining" || this.mayReplaceDraining(group))) {
            this.startClosing(group, head, "a member is draining");
            return;
        }
        this.checkMembers(view, group);
    }

    /** Checks members that may be unreachable because the group is silent or their registrations are missing. */
    private checkMembers(view: ServiceView, group: ManagedGroup): void {
        const load = this.options.loads.totalLoad(String(group.epoch));
        const ageMs = this.activity.openAgeMs(group);
        const failure = this.activity.memberFailure(group);
        if (failure) {
            this.loseGroup(view, group, failure);
            return;
        }
        const silenceMs = this.activity.silenceBeforeCheckMs;
        // Silence from before the upstreams could be reached again is not the group's.
        const reachableMs = this.state.nowMs() - (this.activity.unreachableUntilMs.get(group.service) ?? -Infinity);
        const isSilent = load.inFlight > 0 && Math.min(load.silentMs, reachableMs) > silenceMs && ageMs > silenceMs;
        const unlisted = group.members.filter(member => !this.options.upstreams.get(member.id));
        const isDue = isSilent
            ? this.memberChecker.isCheckDue(group)
            : unlisted.length > 0 && this.memberChecker.isCheckDue(group, UNLISTED_CHECK_INTERVAL_MS);
        if (!isDue) {
            return;
        }
        const toCheck = isSilent ? group.members : unlisted;
        const epoch = this.activity.isEpochReported(group) ? group.epoch : undefined;
        this.options.log.info("checking group members", {
            group: group.name,
            epoch: group.epoch,
            silentMs: Math.round(load.silentMs),
            inFlight: load.inFlight,
            unlisted: unlisted.length,
        });
        void this.memberChecker.check(group, toCheck, epoch).then(failed => {
            if (!this.state.isCurrent(group, "open")) {
                return;
            }
            const isSilentTooLong = isSilent && this.state.isReachable(group) && reachableMs > MAX_SILENCE_MS
                && this.options.loads.totalLoad(String(group.epoch)).silentMs > MAX_SILENCE_MS;
            const fresh = this.state.freshView(view);
            const slow = this.replaceableSlowMembers(fresh, group);
            if (failed.size > 0 && unlisted.length > 0 && this.activity.isServing(group)) {
                // A member that leaves stays until the group's requests have ended, but may not respond any more.
                this.startClosing(group, this.state.currentHead(group), "a member has left");
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
        const slow = group.members.filter(({ id }) => this.state.health.isSlow(id) || group.loss?.slow.has(id));
        const spares = this.state.freeUpstreams(view).filter(upstream =>
            upstream.domain === group.domain && upstream.model === group.model.name
            && !this.state.health.isSlow(upstream.id)
        );
        return spares.length >= slow.length ? idsOf(slow) : new Set();
    }

    /** Returns true if enough other groups of the model serve, or if the draining member will leave soon. */
    private mayReplaceDraining(group: ManagedGroup): boolean {
        if (this.state.nowMs() - (group.drainSinceMs ?? 0) > DRAIN_TIMEOUT_MS) {
            return true;
        }
        const ofModel = [...this.state.groups.values()].filter(item =>
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

    /** Lets the requests of a group end before it is re-formed; a head that is not registered gets no new ones. */
    private startClosing(group: ManagedGroup, head: Upstream | undefined, reason: string): void {
        this.options.log.info("closing group", { group: group.name, epoch: group.epoch, reason });
        this.state.setPhase(group, "closing");
        this.orderClose(group, head);
    }

    /** Orders an open head to close its group, again if the head was busy or the order had no effect. */
    private orderClose(group: ManagedGroup, head: Upstream | undefined): void {
        const { orders } = this.options;
        const isDue = this.state.nowMs() - (group.closeOrderedAtMs ?? -Infinity) > CLOSE_RETRY_AFTER_MS;
        if (head?.group?.phase === "open" && isDue && !orders.isBusy(head)) {
            group.closeOrderedAtMs = this.state.nowMs();
            void orders.send(head, { kind: "close", group: group.name, epoch: group.epoch });
        }
    }

    /** Forms a group again once its requests have ended. */
    advanceClosing(view: ServiceView, group: ManagedGroup): void {
        const head = this.state.currentHead(group);
        const isClosed = this.activity.headFailure(group) !== undefined;
        const isAbandoned = !this.activity.isInUse(group)
            && (!head || this.activity.hasRequests(group)
                || this.state.nowMs() - group.phaseSinceMs > CLOSE_TIMEOUT_MS);
        if (isClosed || isAbandoned) {
            group.lostAtMs ??= group.phaseSinceMs;
            this.formation.reform(view, group, "a member is draining", new Set());
            return;
        }
        this.orderClose(group, head);
    }

    /** Re-forms a group that certainly cannot serve any more. */
    private loseGroup(view: ServiceView, group: ManagedGroup, { reason, excluded }: GroupFailure): void {
        this.announceLoss(group, reason);
        this.formation.reform(view, group, reason, excluded);
    }

    /**
     * Keeps new requests from a group that may have failed, and re-forms it once those in flight have ended elsewhere or
     * there: the joins of its members end them, although the group may have been silent only for a moment.
     */
    suspectGroup(
        view: ServiceView,
        group: ManagedGroup,
        reason: string,
        slow: ReadonlySet<string>,
        silent: readonly Upstream[],
    ): void {
        this.announceLoss(group, reason);
        group.loss = { reason, slow, silent, openSinceMs: group.phaseSinceMs, announcedAtMs: this.state.nowMs() };
        this.state.setPhase(group, "lost");
        this.advanceLost(view, group);
    }

    private announceLoss(group: ManagedGroup, reason: string): void {
        this.options.metrics.count("groupsLost", reason);
        if (group.lostAtMs === undefined) {
            const { inFlight, silentMs } = this.options.loads.totalLoad(String(group.epoch));
            group.lostAtMs = this.state.nowMs();
            group.repairDurations = repairSteps.detectedAfter(inFlight > 0 ? Math.round(silentMs) : 0);
        }
        this.options.announceLost(group.epoch, reason);
    }

    /** Forms a suspected group again once it is certain that it cannot go on, or nothing is lost by it. */
    advanceLost(view: ServiceView, group: ManagedGroup): void {
        const { loss } = group;
        if (!loss) {
            return;
        }
        const failure = this.activity.headFailure(group) ?? this.activity.memberFailure(group);
        if (failure || !this.activity.isInUse(group)) {
            const slow = this.replaceableSlowMembers(view, group);
            this.formation.reform(view, group, loss.reason, new Set([...slow, ...failure?.excluded ?? []]));
            return;
        }
        if (this.state.nowMs() - loss.announcedAtMs > LOSS_ANNOUNCEMENT_INTERVAL_MS) {
            loss.announcedAtMs = this.state.nowMs();
            this.options.announceLost(group.epoch, loss.reason);
        }
        if (loss.silent.length === 0 || !this.memberChecker.isCheckDue(group)) {
            return;
        }
        const epoch = this.activity.isEpochReported(group) ? group.epoch : undefined;
        void this.memberChecker.check(group, loss.silent, epoch).then(failed => {
            if (!this.state.isCurrent(group, "lost")) {
                return;
            }
            if (this.isCertain(failed)) {
                const fresh = this.state.freshView(view);
                const slow = this.replaceableSlowMembers(fresh, group);
                this.formation.reform(fresh, group, loss.reason, new Set([...failed.keys(), ...slow]));
                return;
            }
            loss.silent = loss.silent.filter(({ id }) => failed.has(id));
        });
    }
}
