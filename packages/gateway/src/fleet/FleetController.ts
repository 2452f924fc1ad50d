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
import { EpochSource } from "./EpochSource.js";
import { FleetStabilityMonitor } from "./FleetStabilityMonitor.js";
import type { ManagedGroup } from "./ManagedGroup.js";
import { MemberCheck } from "./MemberCheck.js";
import type { MemberProber } from "./MemberProber.js";
import type { ObservedGroup } from "./ObservedGroup.js";
import { observeGroups } from "./observeGroups.js";
import type { OrderSender } from "./OrderSender.js";
import { planGroups } from "./planGroups.js";
import { standbyGroups } from "./standbyGroups.js";
import type { StandbyPool } from "./StandbyPool.js";
import { UpstreamHealth } from "./UpstreamHealth.js";
import type { WeightLoadLimiter } from "./WeightLoadLimiter.js";

/** What a `FleetController` is made of. */
interface FleetControllerOptions {
    clock: Clock;
    log: DecisionLog;
    metrics: GatewayMetrics;
    configuration: ActiveConfiguration;
    upstreams: UpstreamDirectory;
    loads: LoadTracker;
    lease: ControllerLease;
    orders: OrderSender;
    prober: MemberProber;
    weightLoadLimiter: WeightLoadLimiter;
    standby: StandbyPool;
    /** Time for which a group stands still before its head gives it up, ms. */
    groupStallMs: number;
    /**
     * False while a zone seems to be cut off from this one, or has not been heard since a time: what it looks like from
     * here says nothing.
     */
    isZoneReachable: (zone: string, sinceMs?: number) => boolean;
    /** How much older than a pause between updates the loads of other gateways can be, ms. */
    loadLagMs: () => number;
    /** Tells all gateways that a group is lost. */
    announceLost: (epoch: number, reason: string) => void;
    /** True if a group was found lost lately, so that gateways leave it out. */
    isLost: (epoch: number) => boolean;
    /** False while the view of upstreams is not kept up to date. */
    isViewFresh: () => boolean;
    /** Tells all gateways that a group has opened. */
    announceOpen: () => void;
}

/** One service's engines as one turn sees them. */
interface ServiceView {
    service: string;
    engine: EngineProfile;
    upstreams: Upstream[];
    observed: Map<string, ObservedGroup>;
}

/** Pause between two turns, ms: short against the 200 ms of a warm join. */
const TICK_MS = 40;
/** Pause between two looks at the lease while another gateway is the controller, ms: that of the lease's own. */
const STANDBY_TICK_MS = 100;
/** Silence of a group, as all gateways see it, after which its members are asked, ms: above most passes. */
const SILENCE_MS = 220;
/** Silence after which a group is formed anew though all its members answer, ms. */
const STUCK_MS = 1500;
/** Pause between two rounds of asking the members of one group, ms. */
const CHECK_PAUSE_MS = 400;
/** Pause between two rounds of asking members whose entries are gone, ms: each question is priced. */
const ENTRY_CHECK_PAUSE_MS = 1500;
/** A group at least this old is held to its epoch in reports, ms: reports lag by some hundred ms. */
const REPORTS_CAUGHT_UP_MS = 1000;
/** A member that does not show a join after this time is asked, ms. */
const JOIN_SHOWS_AFTER_MS = 1200;
/** A group whose join was rejected is formed anew after this time, ms: the view has caught up by then. */
const REJECTED_PAUSE_MS = 150;
/** Pause between two rounds of reports while the store is away, ms: reports lag behind by some 200 ms. */
const REPORT_PAUSE_MS = 200;
/** An opening that does not show after this time is ordered again, ms. */
const OPEN_SHOWS_AFTER_MS = 900;
/** Requests of a closing group get this long to end, ms: most answers take about two seconds. */
const CLOSE_WAIT_MS = 2000;
/** A draining member stays while its head has work, up to ten seconds; it is replaced before, ms. */
const DRAIN_PATIENCE_MS = 6000;
/** Part of a model's groups that may be away at once for members that drain. */
const AWAY_PART = 0.3;
/** An open group is announced for this long, ms: the heads' own words are everywhere by then. */
const ANNOUNCED_MS = 3000;
/** A group without enough members is given up after this time, ms; members that restart are back before. */
const SHORT_AFTER_MS = 1500;
/** Added to the stall time of a head that cannot be asked, ms: its members leave at slightly different moments. */
const STALL_MARGIN_MS = 600;
/** Members that may load at once beyond the weight store's full speed, as a factor, while there is no traffic. */
const EARLY_LOADS_FACTOR = 1.5;

/** Forms, watches and repairs the serving groups, while this gateway is the controller. */
export class FleetController {
    private groups = new Map<string, ManagedGroup>();
    private readonly health: UpstreamHealth;
    private readonly epochs: EpochSource;
    private term = 0;
    private readonly stability: FleetStabilityMonitor;
    private readonly check: MemberCheck;

    private constructor(private readonly options: FleetControllerOptions) {
        this.health = UpstreamHealth.create(options);
        this.epochs = EpochSource.create(options.upstreams);
        this.stability = FleetStabilityMonitor.create(options);
        this.check = MemberCheck.create({
            ...options,
            health: this.health,
            isReachable: (group, sinceMs) => this.isReachable(group, sinceMs),
        });
    }

    /** Creates a controller; it acts once `run` and while it holds the lease. */
    static create(options: FleetControllerOptions): FleetController {
        return new FleetController(options);
    }

    /** Groups that opened lately; all open ones while the store does not tell of them. */
    recentlyOpened(): OpenGroup[] {
        const sinceMs = this.options.isViewFresh() ? this.nowMs() - ANNOUNCED_MS : -Infinity;
        return [...this.groups.values()]
            .filter(({ phase, phaseSinceMs }) => phase === "open" && phaseSinceMs >= sinceMs)
            .map(({ members, name, epoch, model }) => ({ head: members[0]?.id ?? "", name, epoch, model: model.name }));
    }

    /** Acts until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, lease } = this.options;
        while (!signal.aborted) {
            if (lease.isController) {
                this.turn();
            }
            else if (this.term !== 0) {
                this.stepDown();
            }
            await clock.sleep(lease.isController ? TICK_MS : STANDBY_TICK_MS, signal);
        }
    }

    private stepDown(): void {
        this.options.log.info("no longer the controller", { term: this.term });
        this.term = 0;
        this.groups = new Map();
        this.health.clear();
    }

    private turn(): void {
        const { lease, log, configuration } = this.options;
        if (lease.term !== this.term) {
            this.stepDown();
            this.term = lease.term;
            this.epochs.start(this.term);
            log.info("acting as the controller", { term: this.term });
        }
        this.stability.update();
        for (const [service, { engine }] of configuration.current?.services ?? []) {
            if (!engine) {
                continue;
            }
            const view = this.viewOf(service, engine);
            this.adoptGroups(view);
            [...this.groups.values()].filter(item => item.service === service && this.isReachable(item)).forEach(
                item => this.advance(view, item),
            );
            this.releaseStrays(view);
            this.formNewGroups(view);
            this.options.standby.keep(
                service,
                engine,
                this.freeUpstreams(view),
                this.groups,
                () => this.epochs.next(),
            );
        }
    }

    /** Takes over groups that an earlier controller formed. */
    private adoptGroups(view: ServiceView): void {
        for (const group of view.observed.values()) {
            const head = group.members.get(0);
            const known = this.groups.get(group.name);
            if (standbyGroups.isStandby(group.name) || (known && known.epoch >= group.epoch)) {
                continue;
            }
            const any = head ?? [...group.members.values()][0];
            const model = view.engine.models.find(item => item.name === any?.model)
                ?? view.engine.models.find(item => group.name.endsWith(groupSuffix(item)));
            if (!any || !model) {
                continue;
            }
            const members = [...group.members].sort(([left], [right]) => left - right).map(([, member]) => member);
            const isOpen = head?.group?.phase === "open";
            const adopted: ManagedGroup = {
                name: group.name,
                service: view.service,
                domain: any.domain,
                model,
                epoch: group.epoch,
                members,
                phase: isOpen ? "open" : "joining",
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
            if (members.length < model.memberCount) {
                this.reform(view, adopted, "a member is not registered", new Set());
            }
            else if (this.options.isLost(group.epoch)) {
                this.reform(view, adopted, "found lost before, and back", new Set());
            }
        }
    }

    private isReachable(group: ManagedGroup, sinceMs?: number): boolean {
        return group.members.every(member => this.options.isZoneReachable(member.zone, sinceMs));
    }

    private advance(view: ServiceView, group: ManagedGroup): void {
        this.phaseHandlers[group.phase](view, group);
    }

    private readonly phaseHandlers: Record<ManagedGroup["phase"], (view: ServiceView, group: ManagedGroup) => void> = {
        joining: (view, group) => this.advanceJoining(view, group),
        opening: (view, group) => this.advanceOpening(view, group),
        open: (view, group) => this.watchOpen(view, group),
        closing: (view, group) => this.advanceClosing(view, group),
        short: (view, group) => this.advanceShort(view, group),
    };

    private advanceJoining(view: ServiceView, group: ManagedGroup): void {
        const unusable = group.members.filter(member => !this.health.isUsable(member));
        if (unusable.length > 0) {
            this.reform(view, group, "a member was lost while joining", idsOf(unusable));
            return;
        }
        const current = group.members.map(member => this.options.upstreams.get(member.id));
        this.refreshFromReports(group);
        if (current.every(member => isReadyIn(member, group))) {
            this.setPhase(group, "opening");
            void this.openGroup(group);
            return;
        }
        const ageMs = this.nowMs() - group.phaseSinceMs;
        if (group.isRejected && ageMs > REJECTED_PAUSE_MS * 2 ** Math.min(group.rejections ?? 0, 4)) {
            this.reform(view, group, "a join was rejected", new Set());
            return;
        }
        const hidden = group.members.filter((member, rank) =>
            current[rank]?.group?.epoch !== group.epoch && !this.options.orders.isBusy(member)
        );
        if (ageMs > JOIN_SHOWS_AFTER_MS && hidden.length > 0 && this.check.mayAsk(group, CHECK_PAUSE_MS)) {
            void this.check.ask(group, hidden, undefined).then(lost => {
                if (this.groups.get(group.name) !== group || group.phase !== "joining") {
                    return;
                }
                if (lost.size > 0) {
                    this.reform(this.freshView(view), group, "a member does not answer", lost);
                }
                else {
                    this.orderJoins(group, hidden);
                }
            });
        }
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
            this.reform(view, group, "a member was lost while opening", idsOf(unusable));
            return;
        }
        this.refreshFromReports(group);
        const head = this.currentHead(group);
        const ageMs = this.nowMs() - group.phaseSinceMs;
        if (head?.group?.epoch === group.epoch && head.group.phase === "open") {
            const repairMs = group.lostAtMs === undefined ? undefined : this.nowMs() - group.lostAtMs;
            if (repairMs !== undefined) {
                this.options.metrics.observe("repair", repairMs);
            }
            this.options.log.info("group open", { group: group.name, epoch: group.epoch, repairMs });
            group.lostAtMs = undefined;
            this.setPhase(group, "open");
            this.options.announceOpen();
        }
        else if (ageMs > OPEN_SHOWS_AFTER_MS && head && !this.options.orders.isBusy(head)) {
            this.setPhase(group, "joining");
        }
    }

    /** Asks members for their state while the store does not tell it. */
    private refreshFromReports(managed: ManagedGroup): void {
        const { upstreams, orders, isViewFresh } = this.options;
        if (isViewFresh() || !this.check.mayAsk(managed, REPORT_PAUSE_MS)) {
            return;
        }
        managed.isChecking = true;
        const asked = managed.members.map(async member => {
            const report = await orders.report(member);
            const current = upstreams.get(member.id);
            if (report.kind === "reported" && current?.startedAtMs === report.startedAtMs && !isViewFresh()) {
                const { group, model, stagedModels } = report;
                upstreams.set({ ...current, group, model, stagedModels });
            }
        });
        void Promise.all(asked).then(() => {
            managed.isChecking = false;
            managed.checkedAtMs = this.nowMs();
        });
    }

    private watchOpen(view: ServiceView, group: ManagedGroup): void {
        const head = this.currentHead(group);
        if (!head || head.startedAtMs !== group.members[0]?.startedAtMs) {
            this.loseGroup(view, group, "the head is no longer registered", idsOf(group.members.slice(0, 1)));
            return;
        }
        const phase = head.group?.epoch === group.epoch ? head.group.phase : "another epoch";
        if (phase === "closing") {
            this.setPhase(group, "closing");
            return;
        }
        if (phase !== "open") {
            this.loseGroup(view, group, `the head says ${phase}`, new Set());
            return;
        }
        const draining = group.members.filter(member => this.options.upstreams.get(member.id)?.state === "draining");
        group.drainSeenMs = draining.length > 0 ? group.drainSeenMs ?? this.nowMs() : undefined;
        if (draining.length > 0 && (head.state === "draining" || this.mayReplace(group))) {
            this.startDrain(group, head);
            return;
        }
        this.watchMembers(view, group);
    }

    /** Asks members that seem lost: by the group's silence or because their entries are gone. */
    private watchMembers(view: ServiceView, group: ManagedGroup): void {
        const load = this.options.loads.totalLoad(String(group.epoch));
        const ageMs = this.nowMs() - group.phaseSinceMs;
        const silenceMs = SILENCE_MS + this.options.loadLagMs();
        const isSilent = load.inFlight > 0 && load.silentMs > silenceMs && ageMs > silenceMs;
        const reborn = group.members.filter(member => {
            const current = this.options.upstreams.get(member.id);
            return current && (current.startedAtMs !== member.startedAtMs || current.group?.epoch !== group.epoch);
        });
        if (reborn.length > 0 && ageMs > REPORTS_CAUGHT_UP_MS) {
            this.loseGroup(view, group, "a member has restarted or left", new Set());
            return;
        }
        const unlisted = group.members.filter(member => !this.options.upstreams.get(member.id));
        const isDue = isSilent
            ? this.check.mayAsk(group, CHECK_PAUSE_MS)
            : unlisted.length > 0 && this.check.mayAsk(group, ENTRY_CHECK_PAUSE_MS);
        if (!isDue) {
            return;
        }
        const asked = isSilent ? group.members : unlisted;
        const epoch = ageMs > REPORTS_CAUGHT_UP_MS ? group.epoch : undefined;
        this.options.log.info("group asked", {
            group: group.name,
            epoch: group.epoch,
            silentMs: Math.round(load.silentMs),
            inFlight: load.inFlight,
            unlisted: unlisted.length,
        });
        void this.check.ask(group, asked, epoch).then(lost => {
            if (this.groups.get(group.name) !== group || group.phase !== "open") {
                return;
            }
            const isStuck = isSilent && this.isReachable(group)
                && this.options.loads.totalLoad(String(group.epoch)).silentMs > STUCK_MS;
            const fresh = this.freshView(view);
            const slow = this.replaceableSlow(fresh, group);
            if (lost.size > 0 || isStuck) {
                const reason = lost.size > 0 ? "members do not answer" : "silent though all members answer";
                this.loseGroup(fresh, group, reason, new Set([...lost, ...slow]));
            }
            else if (slow.size > 0) {
                this.loseGroup(fresh, group, "members are slow", slow);
            }
        });
    }

    /** Members that hold their group up, if the domain has spares in memory for all of them. */
    private replaceableSlow(view: ServiceView, group: ManagedGroup): Set<string> {
        const slow = group.members.filter(member => this.health.isSlow(member.id));
        const spares = this.freeUpstreams(view).filter(upstream =>
            upstream.domain === group.domain && upstream.model === group.model.name
            && !this.health.isSlow(upstream.id)
        );
        return spares.length >= slow.length ? idsOf(slow) : new Set();
    }

    /** True if enough other groups of the model serve, or if the draining member will not stay much longer. */
    private mayReplace(group: ManagedGroup): boolean {
        if (this.nowMs() - (group.drainSeenMs ?? 0) > DRAIN_PATIENCE_MS) {
            return true;
        }
        const ofModel = [...this.groups.values()].filter(item =>
            item.service === group.service && item.model.name === group.model.name
        );
        const away = ofModel.filter(item => item.phase !== "open").length;
        return away < Math.max(1, Math.floor(ofModel.length * AWAY_PART));
    }

    private startDrain(group: ManagedGroup, head: Upstream): void {
        this.options.log.info("group closes: a member drains", { group: group.name, epoch: group.epoch });
        this.setPhase(group, "closing");
        if (!this.options.orders.isBusy(head)) {
            void this.options.orders.send(head, { kind: "close", group: group.name, epoch: group.epoch });
        }
    }

    private advanceClosing(view: ServiceView, group: ManagedGroup): void {
        const head = this.currentHead(group);
        const isClosed = !head || head.group?.epoch !== group.epoch || head.group.phase === "ready";
        if (isClosed || this.nowMs() - group.phaseSinceMs > CLOSE_WAIT_MS) {
            group.lostAtMs ??= group.phaseSinceMs;
            this.reform(view, group, "a member drains", new Set());
        }
    }

    private advanceShort(view: ServiceView, group: ManagedGroup): void {
        if (this.reform(view, group, "members are free again", new Set())) {
            return;
        }
        if (this.nowMs() - group.phaseSinceMs > SHORT_AFTER_MS) {
            this.dissolve(group);
        }
    }

    private loseGroup(view: ServiceView, group: ManagedGroup, reason: string, lost: ReadonlySet<string>): void {
        this.options.metrics.count("groupsLost", reason);
        group.lostAtMs ??= this.nowMs();
        this.options.announceLost(group.epoch, reason);
        this.reform(view, group, reason, lost);
    }

    /** Forms a group anew under its name, with a higher epoch; false: its domain has too few VMs. */
    private reform(view: ServiceView, group: ManagedGroup, reason: string, lost: ReadonlySet<string>): boolean {
        const staying = group.members
            .filter(member => !lost.has(member.id) && this.health.isUsable(member))
            .map(member => this.options.upstreams.get(member.id) ?? member);
        const free = this.freeUpstreams(view).filter(upstream => upstream.domain === group.domain);
        const quick = free.filter(upstream => !this.health.isSlow(upstream.id));
        const { name: modelName, memberCount } = group.model;
        const members = chooseMembers(modelName, memberCount, staying, quick)
            ?? chooseMembers(modelName, memberCount, staying, free);
        if (!members) {
            this.markShort(group, staying, reason);
            return false;
        }
        const isLoaded = (member: Upstream) =>
            member.stagedModels.includes(group.model.name) || member.model === group.model.name;
        const loads = members.filter(member => !isLoaded(member)).length;
        if (loads > 0 && !this.options.weightLoadLimiter.tryAcquire(loads, view.engine.weightLoadsPerSecond)) {
            this.markShort(group, staying, "the weight store's rate is used up");
            return true;
        }
        this.quarantineReplaced(group, members);
        const rejections = group.isRejected ? (group.rejections ?? 0) + 1 : 0;
        const { name, domain, model, lostAtMs } = group;
        this.begin(view.service, name, domain, model, members, reason, { lostAtMs, rejections });
        return true;
    }

    /** The head may serve with a replaced member until its own order has arrived, or until it gives the group up. */
    private quarantineReplaced(group: ManagedGroup, members: readonly Upstream[]): void {
        const untilMs = this.nowMs() + this.options.groupStallMs + STALL_MARGIN_MS;
        const kept = idsOf(members);
        const { epoch, members: [head] } = group;
        const hasHeadLeft = () => {
            const current = this.options.upstreams.get(head?.id ?? "");
            return current !== undefined
                && (current.startedAtMs !== head?.startedAtMs || current.group?.epoch !== epoch);
        };
        group.members.filter(member => member !== head && !kept.has(member.id)).forEach(member =>
            this.health.quarantine(member, untilMs, hasHeadLeft)
        );
    }

    /** Keeps the members that are left until the group can be formed anew. */
    private markShort(group: ManagedGroup, staying: readonly Upstream[], reason: string): void {
        if (group.phase === "short") {
            return;
        }
        const { name, model } = group;
        this.options.log.info("group short", { group: name, reason, staying: staying.length, of: model.memberCount });
        const short: ManagedGroup = { ...group, members: staying };
        this.groups.set(name, short);
        this.setPhase(short, "short");
    }

    private begin(
        service: string,
        name: string,
        domain: string,
        model: ModelProfile,
        members: readonly Upstream[],
        reason: string,
        past: { lostAtMs?: number; rejections?: number; } = {},
    ): void {
        const epoch = this.epochs.next();
        const group: ManagedGroup = {
            name,
            service,
            domain,
            model,
            epoch,
            members,
            phase: "joining",
            phaseSinceMs: this.nowMs(),
            ...past,
            checkedAtMs: 0,
            isChecking: false,
        };
        this.groups.set(name, group);
        const ids = members.map(member => member.id).join(" ");
        this.options.log.info("group formed", { group: name, epoch, model: model.name, reason, members: ids });
        this.orderJoins(group, members);
    }

    private orderJoins(group: ManagedGroup, members: readonly Upstream[]): void {
        const { name, epoch, model } = group;
        const ids = group.members.map(member => member.id);
        for (const member of members) {
            void this.options.orders
                .send(member, { kind: "join", group: name, epoch, model: model.name, members: ids })
                .then(outcome => {
                    if (outcome === "lost") {
                        this.health.markLost(member);
                    }
                    if (outcome === "rejected") {
                        // The member has seen a higher epoch, or another order came between; a new epoch settles it.
                        group.isRejected = true;
                    }
                });
        }
    }

    /** Gives a group up whose domain has too few VMs; its members become free. */
    private dissolve(group: ManagedGroup): void {
        this.options.log.info("group given up", { group: group.name, epoch: group.epoch });
        this.groups.delete(group.name);
        const observed = observeGroups(this.options.upstreams.all()).get(group.name);
        if (observed) {
            void this.leaveGroup(observed);
        }
    }

    /** Lets the head leave first: until it has, or must have given the group up, no member joins another one. */
    private async leaveGroup({ name, epoch, members }: ObservedGroup): Promise<void> {
        const { orders, groupStallMs } = this.options;
        const head = members.get(0);
        const others = [...members.values()].filter(member => member !== head);
        const untilMs = this.nowMs() + groupStallMs + STALL_MARGIN_MS;
        let hasLeft = false;
        others.forEach(member => this.health.quarantine(member, untilMs, () => hasLeft));
        const leave = { kind: "leave", group: name, epoch } as const;
        hasLeft = head !== undefined && this.health.isUsable(head)
            && await orders.send(head, leave) === "carried-out";
        for (const member of others.filter(item => this.health.isUsable(item))) {
            void orders.send(member, leave);
        }
    }

    /** Takes upstreams out of groups in which the controller does not count them. */
    private releaseStrays(view: ServiceView): void {
        for (const upstream of view.upstreams) {
            const { group } = upstream;
            if (!group || standbyGroups.isStandby(group.name) || this.options.orders.isBusy(upstream)) {
                continue;
            }
            const managed = this.groups.get(group.name);
            const belongs = managed?.members.some(member => member.id === upstream.id);
            if (belongs || !this.health.isUsable(upstream)) {
                continue;
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
            if (group.service === service && group.phase !== "short") {
                counts.set(group.model.name, (counts.get(group.model.name) ?? 0) + 1);
            }
        }
        const largest = Math.max(...engine.models.map(model => model.memberCount));
        const hasLargest = (group: ManagedGroup, domain: string) =>
            group.service === service && group.domain === domain && group.model.memberCount === largest;
        const domains = [...byDomain].map(([domain, members]) => ({
            domain,
            freeCount: members.length,
            largestCount: [...this.groups.values()].filter(group => hasLargest(group, domain)).length,
        }));
        for (const planned of planGroups(engine.models, counts, domains, this.stability.isStable)) {
            const model = engine.models.find(item => item.name === planned.model);
            const inDomain = this.freeUpstreams(view).filter(upstream => upstream.domain === planned.domain);
            const members = model && chooseMembers(model.name, model.memberCount, [], inDomain);
            if (!model || !members) {
                continue;
            }
            const loads = members.filter(member => !member.stagedModels.includes(model.name)).length;
            if (!this.mayLoad(engine, loads)) {
                return;
            }
            const name = this.freeName(planned.domain, model);
            this.begin(service, name, planned.domain, model, members, "planned");
        }
    }

    private mayLoad(engine: EngineProfile, count: number): boolean {
        if (count === 0) {
            return true;
        }
        const loading = [...this.groups.values()].filter(item => item.phase === "joining").reduce(
            (sum, item) => sum + item.members.length,
            0,
        );
        const isCrowded = loading > 0 && loading + count > engine.concurrentWeightLoads * EARLY_LOADS_FACTOR;
        return !isCrowded && this.options.weightLoadLimiter.tryAcquire(count, engine.weightLoadsPerSecond);
    }

    private freeName(domain: string, model: ModelProfile): string {
        for (let index = 1;; index++) {
            const name = `${domain}.${index}${groupSuffix(model)}`;
            if (!this.groups.has(name)) {
                return name;
            }
        }
    }

    /** Upstreams that may join a group: in none, or only in one of their own that keeps weights in memory. */
    private freeUpstreams(view: ServiceView): Upstream[] {
        const taken = new Set<string>();
        for (const group of this.groups.values()) {
            group.members.forEach(member => taken.add(member.id));
        }
        return view.upstreams.filter(upstream =>
            this.health.isUsable(upstream) && !taken.has(upstream.id)
            && (!upstream.group || standbyGroups.isStandby(upstream.group.name))
            && !this.health.isQuarantined(upstream)
        );
    }

    private setPhase(group: ManagedGroup, phase: ManagedGroup["phase"]): void {
        group.phase = phase;
        group.phaseSinceMs = this.nowMs();
    }

    /** The view may have changed while members were asked. */
    private freshView({ service, engine }: ServiceView): ServiceView {
        return this.viewOf(service, engine);
    }

    private viewOf(service: string, engine: EngineProfile): ServiceView {
        const upstreams = [...this.options.upstreams.all()].filter(upstream =>
            upstream.service === service && this.options.isZoneReachable(upstream.zone)
        );
        return { service, engine, upstreams, observed: observeGroups(upstreams) };
    }

    /** The head of a group as it is registered now. */
    private currentHead({ members: [head] }: ManagedGroup): Upstream | undefined {
        return head && this.options.upstreams.get(head.id);
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }
}

function groupSuffix(model: ModelProfile): string {
    return `.${model.name}`;
}

function isReadyIn(member: Upstream | undefined, managed: ManagedGroup): boolean {
    const group = member?.group;
    return group !== undefined && group.name === managed.name && group.epoch === managed.epoch
        && (group.phase === "ready" || group.phase === "open");
}

function idsOf(members: readonly Upstream[]): Set<string> {
    return new Set(members.map(member => member.id));
}
