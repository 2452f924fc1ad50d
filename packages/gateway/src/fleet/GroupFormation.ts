import type { ModelProfile } from "../model/ModelProfile.js";
import type { Upstream } from "../model/Upstream.js";
import { chooseMembers } from "./chooseMembers.js";
import type { FleetControllerOptions } from "./FleetControllerOptions.js";
import type { FleetState } from "./FleetState.js";
import type { GroupRelease } from "./GroupRelease.js";
import { idsOf } from "./idsOf.js";
import type { ManagedGroup } from "./ManagedGroup.js";
import type { MemberChecker } from "./MemberChecker.js";
import { repairHistograms } from "./repairHistograms.js";
import { repairSteps } from "./repairSteps.js";
import type { ServiceView } from "./ServiceView.js";
import { standbyGroups } from "./standbyGroups.js";

/** Duration of a join with the model's weights in memory. */
const WARM_JOIN_MS = 200;
/** A member whose registration does not show its join after this time is checked. */
const JOIN_CHECK_AFTER_MS = 1200;
/** Delay before a group is re-formed after a rejected join, so that the view of upstreams is up to date again. */
const REJECTED_JOIN_DELAY_MS = 150;
/** Minimum time between two report requests to a member; half of the 200 ms by which reports lag. */
const REPORT_INTERVAL_MS = 100;
/** The open order is repeated if the head's registration does not show the open group after this time. */
const OPEN_RETRY_AFTER_MS = 900;

/** Forms groups: orders joins, opens groups whose members are ready, and forms groups again that have lost members. */
export class GroupFormation {
    private constructor(
        private readonly options: FleetControllerOptions,
        private readonly state: FleetState,
        private readonly release: GroupRelease,
        private readonly memberChecker: MemberChecker,
    ) {}

    /** Creates an instance. */
    static create(
        options: FleetControllerOptions,
        state: FleetState,
        release: GroupRelease,
        memberChecker: MemberChecker,
    ): GroupFormation {
        return new GroupFormation(options, state, release, memberChecker);
    }

    /** Opens a group whose members have joined, and replaces those that cannot join. */
    advanceJoining(view: ServiceView, group: ManagedGroup): void {
        const unusable = group.members.filter(member => !this.state.health.isUsable(member));
        if (unusable.length > 0) {
            this.reform(view, group, "a member became unusable while joining", idsOf(unusable));
            return;
        }
        const current = group.members.map(member => this.options.upstreams.get(member.id));
        this.refreshFromReports(group, this.overdueMembers(group, 0));
        if (current.every(member => isReadyIn(member, group))) {
            this.state.setPhase(group, "opening");
            void this.openGroup(group);
            return;
        }
        const ageMs = this.state.nowMs() - group.phaseSinceMs;
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
            && this.memberChecker.isCheckDue(group)
        ) {
            void this.memberChecker.check(group, unjoined, undefined).then(failed => {
                if (!this.state.isCurrent(group, "joining")) {
                    return;
                }
                if (failed.size > 0) {
                    const excluded = new Set(failed.keys());
                    this.reform(this.state.freshView(view), group, "a member does not respond", excluded);
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
        const rejecting = group.members.filter(member => this.state.health.isRejecting(member));
        const spares = this.state.freeUpstreams(view).filter(upstream =>
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

    /** Waits until a group is open, and repeats the open order if it had no effect. */
    advanceOpening(view: ServiceView, group: ManagedGroup): void {
        const unusable = group.members.filter(member => !this.state.health.isUsable(member));
        if (unusable.length > 0) {
            this.reform(view, group, "a member became unusable while opening", idsOf(unusable));
            return;
        }
        const head = this.state.currentHead(group);
        const ageMs = this.state.nowMs() - group.phaseSinceMs;
        this.refreshFromReports(group, head && ageMs > view.engine.formationMs ? [head] : []);
        if (head?.group?.epoch === group.epoch && head.group.phase === "open") {
            this.recordOpen(group);
            this.state.setPhase(group, "open");
            this.options.announceOpen();
        }
        else if (ageMs > OPEN_RETRY_AFTER_MS && head && !this.options.orders.isBusy(head)) {
            this.state.setPhase(group, "joining");
        }
    }

    private recordOpen(group: ManagedGroup): void {
        const { log, metrics } = this.options;
        const { name, epoch, lostAtMs } = group;
        const durations = lostAtMs === undefined ? undefined : {
            repairMs: this.state.nowMs() - lostAtMs,
            ...repairSteps.until(group, this.state.nowMs()),
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
        if (
            members.length === 0
            || this.state.nowMs() - (managed.reportsRequestedAtMs ?? -Infinity) < REPORT_INTERVAL_MS
        ) {
            return;
        }
        managed.reportsRequestedAtMs = this.state.nowMs();
        for (const member of members) {
            void orders.fetchReport(member).then(report => {
                const current = upstreams.get(member.id);
                if (report.kind !== "reported" || current?.startedAtMs !== report.startedAtMs) {
                    return;
                }
                if (!isViewFresh()) {
                    upstreams.replaceByReport(current, report);
                }
                else if (report.group?.epoch === managed.epoch && this.state.groups.get(managed.name) === managed) {
                    upstreams.recordProgress(current, report);
                }
            });
        }
    }

    /** Returns the members that should be ready by now but are not registered so. */
    private overdueMembers(group: ManagedGroup, marginMs: number): Upstream[] {
        const ageMs = this.state.nowMs() - group.phaseSinceMs;
        return group.members.filter(member =>
            !isReadyIn(this.options.upstreams.get(member.id), group) && ageMs > joinMs(member, group.model) + marginMs
        );
    }

    /** Forms a group again once upstreams are available, or dissolves it. */
    advanceIncomplete(view: ServiceView, group: ManagedGroup): void {
        if (this.reform(view, group, "free upstreams are available again", new Set())) {
            return;
        }
        // Members that restart are not awaited: they can join the next group as quickly as this one, while the others serve.
        const quarantined = this.state.availableUpstreams(view).filter(({ domain }) => domain === group.domain);
        if (this.stayingMembers(group, new Set()).length + quarantined.length < group.model.memberCount) {
            this.release.dissolve(group);
        }
    }

    /** Returns the members that can be part of a group when it is formed again. */
    private stayingMembers(group: ManagedGroup, excluded: ReadonlySet<string>): Upstream[] {
        return group.members
            .filter(member => !excluded.has(member.id) && this.state.health.isUsable(member))
            .filter(member => !this.mayBelongElsewhere(member, group.name))
            .map(member => this.options.upstreams.get(member.id) ?? member);
    }

    /** Re-forms a group under the same name with a higher epoch. Returns false if its domain has too few usable VMs. */
    reform(view: ServiceView, group: ManagedGroup, reason: string, excluded: ReadonlySet<string>): boolean {
        const staying = this.stayingMembers(group, excluded);
        const free = this.state.freeUpstreams(view).filter(upstream => upstream.domain === group.domain);
        const notSlow = free.filter(upstream => !this.state.health.isSlow(upstream.id));
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
        const formerHeads = [...this.release.waitingHeads(group), this.release.quarantineReplaced(group, members)];
        const consecutiveRejections = group.hasRejectedJoin ? (group.consecutiveRejections ?? 0) + 1 : 0;
        const { name, domain, model, lostAtMs } = group;
        const repairDurations = repairSteps.until(group, this.state.nowMs());
        this.startFormation(view.service, name, domain, model, members, reason, {
            lostAtMs,
            repairDurations,
            consecutiveRejections,
            formerHeads,
        });
        return true;
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
        this.state.groups.set(name, incomplete);
        this.state.setPhase(incomplete, "incomplete");
    }

    /** Orders members to join a group in a new epoch. */
    startFormation(
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
            phaseSinceMs: this.state.nowMs(),
            ...previous,
            checkedAtMs: 0,
            isChecking: false,
        };
        this.state.groups.set(name, group);
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
                        this.state.health.markUnresponsive(member);
                    }
                    if (outcome === "outdated") {
                        this.withdrawOutdated(group, member);
                    }
                    if (outcome === "rejected") {
                        // The member has seen a higher epoch or accepted another order first. Another member replaces
                        // it if there is one; otherwise re-forming with a new epoch helps.
                        group.hasRejectedJoin = true;
                        this.state.health.markRejecting(member);
                    }
                });
        }
    }

    /**
     * Stops the formation of a group that was decided from registrations older than its members' state. A newer group of
     * the same name is adopted then; a member of another group is replaced.
     */
    private withdrawOutdated(group: ManagedGroup, member: Upstream): void {
        if (!this.state.isCurrent(group, "joining")) {
            return;
        }
        if (this.options.upstreams.get(member.id)?.group?.name === group.name) {
            this.options.log.info("group formation withdrawn", { group: group.name, epoch: group.epoch });
            this.state.groups.delete(group.name);
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
            : this.state.health.isQuarantined(upstream);
    }
}

function rejectedJoinDelayMs({ consecutiveRejections }: ManagedGroup): number {
    return REJECTED_JOIN_DELAY_MS * 2 ** Math.min(consecutiveRejections ?? 0, 4);
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
