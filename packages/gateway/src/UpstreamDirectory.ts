import type { Clock } from "@fescuehaven/runtime";
import type { MembershipOrder } from "./fleet/MembershipOrder.js";
import { OrderedMemberships } from "./fleet/OrderedMemberships.js";
import type { Upstream } from "./model/Upstream.js";
import type { OpenGroup } from "./peers/OpenGroup.js";
import { LeavingInstances } from "./placement/LeavingInstances.js";
import type { LeavingReport } from "./placement/LeavingReport.js";
import type { DecisionLog } from "./ports/DecisionLog.js";
import type { UpstreamReport } from "./ports/UpstreamReport.js";

interface UpstreamDirectoryOptions {
    clock: Clock;
    log: DecisionLog;
    /** Upstreams that are missing after a store outage are kept for this time, in which they may register again. */
    returnGraceMs: number;
}

/** An upstream in an older copy of the store that had been removed since. */
interface WithheldUpstream {
    upstream: Upstream;
    sinceMs: number;
}

/**
 * A removed upstream that a restored store lists again is ignored for this time. By then the store has removed it if
 * it is silent: after three heartbeats.
 */
const WITHHOLD_MS = 5000;
/** Removals are remembered for longer than the age of any copy of the store. */
const REMOVAL_RETENTION_MS = 60_000;

/** Availability of an upstream that takes no requests; most of these are group members other than the head. */
const NO_REQUESTS = "nothing";

/**
 * The registered upstreams, as last received from the store or a peer. An instance that has said in a response that it
 * is shutting down is draining, whatever its registration says. One that has answered an order of this gateway belongs to
 * the group that the order says until its registration is as new.
 */
export class UpstreamDirectory {
    private readonly upstreams = new Map<string, Upstream>();
    private readonly missingSinceMs = new Map<string, number>();
    /** Instances that were removed recently. */
    private readonly removals = new Map<string, { startedAtMs: number; atMs: number; }>();
    private readonly withheld = new Map<string, WithheldUpstream>();
    private readonly listeners = new Set<() => void>();
    private changeCount = 0;
    private memberAddedAtMs = -Infinity;

    private readonly leaving: LeavingInstances;
    private readonly orderedMemberships: OrderedMemberships;

    private constructor(private readonly options: UpstreamDirectoryOptions) {
        const isRegistered = (id: string, startedAtMs: number) => this.upstreams.get(id)?.startedAtMs === startedAtMs;
        this.leaving = LeavingInstances.create({ clock: options.clock, isRegistered });
        this.orderedMemberships = OrderedMemberships.create({ clock: options.clock, isRegistered });
    }

    /** Creates an empty directory. */
    static create(options: UpstreamDirectoryOptions): UpstreamDirectory {
        return new UpstreamDirectory(options);
    }

    /** When an upstream was last found to belong to a group that the directory did not show, monotonic. */
    get lastMemberAddedAtMs(): number {
        return this.memberAddedAtMs;
    }

    /** Incremented by every change. */
    get version(): number {
        return this.changeCount;
    }

    /** Calls `listener` after every change. */
    onChange(listener: () => void): void {
        this.listeners.add(listener);
    }

    /** Returns the upstream with an id, or undefined if it is not registered. */
    get(id: string): Upstream | undefined {
        return this.upstreams.get(id);
    }

    /** Returns all registered upstreams. */
    all(): Iterable<Upstream> {
        return this.upstreams.values();
    }

    /** Instances that have said that they are shutting down, for other gateways. */
    leavingReports(): LeavingReport[] {
        return this.leaving.reports();
    }

    /** Records that an instance is shutting down. Returns false if that is known, or another instance is registered. */
    recordLeaving({ upstream, startedAtMs, ageMs }: LeavingReport, source: "response" | "order" | "peer"): boolean {
        if (!this.leaving.record(upstream, startedAtMs, ageMs)) {
            return false;
        }
        this.options.log.info("upstream is leaving", { upstream, bornMs: startedAtMs, source });
        const registered = this.upstreams.get(upstream);
        if (registered?.startedAtMs === startedAtMs && registered.state === "ready") {
            this.update(registered);
        }
        return true;
    }

    /** Adds an upstream or replaces its registration. */
    set(registration: Upstream): void {
        this.orderedMemberships.settle(registration);
        this.update(registration);
    }

    /** Returns the current entry of an instance, or undefined if it is not registered. */
    private registered({ id, startedAtMs }: Upstream): Upstream | undefined {
        const registered = this.upstreams.get(id);
        return registered?.startedAtMs === startedAtMs ? registered : undefined;
    }

    private update(changed: Upstream): void {
        const member = this.orderedMemberships.apply(changed);
        const upstream: Upstream = this.leaving.has(member.id, member.startedAtMs)
            ? { ...member, state: "draining" }
            : member;
        const before = this.upstreams.get(upstream.id);
        this.missingSinceMs.delete(upstream.id);
        this.withheld.delete(upstream.id);
        this.removals.delete(upstream.id);
        this.upstreams.set(upstream.id, upstream);
        if (!before && upstream.group) {
            this.memberAddedAtMs = this.options.clock.monotonicMs();
        }
        this.logChange(before, upstream);
        this.notifyListeners();
    }

    /**
     * Applies the controller's report of an opened group, which may arrive before the head's own registration. Returns
     * false if the directory already has the same or newer information, or if the head is not registered.
     */
    recordOpenGroup({ head, name, epoch, model }: OpenGroup): boolean {
        const known = this.upstreams.get(head);
        const knownEpoch = known?.group?.epoch ?? 0;
        const isForming = known?.group?.phase === "joining" || known?.group?.phase === "ready";
        const isNewer = known !== undefined && (knownEpoch < epoch || (knownEpoch === epoch && isForming));
        if (isNewer) {
            this.update({ ...known, model, group: { name, epoch, rank: 0, phase: "open" } });
        }
        return isNewer;
    }

    /** Applies an upstream's own report of a group that it has joined or left since its registration was written. */
    recordReport(
        { id, startedAtMs }: Upstream,
        { group, model, stagedModels }: Pick<Upstream, "group" | "model" | "stagedModels">,
    ): void {
        const known = this.upstreams.get(id);
        if (known?.startedAtMs === startedAtMs && (!group || group.epoch > (known.group?.epoch ?? 0))) {
            this.memberAddedAtMs = group ? this.options.clock.monotonicMs() : this.memberAddedAtMs;
            this.update({ ...known, group, model, stagedModels });
        }
    }

    /** Records an order that an upstream has carried out, and the number of orders it had accepted then. */
    recordOrder(upstream: Upstream, order: MembershipOrder, orderCount: number): void {
        const registered = this.registered(upstream);
        this.orderedMemberships.recordOrder(registered ?? upstream, order, orderCount);
        if (registered) {
            this.update(registered);
        }
    }

    /** Takes what is known of an upstream's last order from its report, unless that is older. */
    recordOrderCount(upstream: Upstream, report: UpstreamReport & { kind: "reported"; }): void {
        const registered = this.registered(upstream);
        if (this.orderedMemberships.recordReport(upstream, report) && registered) {
            this.update(registered);
        }
    }

    /** Forgets the orders of a term that has ended: a later controller may have given others. */
    forgetOrders(): void {
        this.orderedMemberships.clear();
    }

    /** Applies a report of a forming group's member, whose registration may not show its progress yet. */
    recordProgress(upstream: Upstream, report: UpstreamReport & { kind: "reported"; }): void {
        const registered = this.registered(upstream);
        if (registered) {
            this.orderedMemberships.recordProgress(registered, report);
            this.update(registered);
        }
    }

    /** Applies an upstream's report while the store does not provide its registrations. */
    replaceByReport(upstream: Upstream, { group, model, stagedModels }: UpstreamReport & { kind: "reported"; }): void {
        this.update({ ...upstream, group, model, stagedModels });
    }

    /** Removes an upstream. */
    remove(id: string, reason: string): void {
        this.missingSinceMs.delete(id);
        this.withheld.delete(id);
        const { startedAtMs } = this.upstreams.get(id) ?? {};
        if (startedAtMs !== undefined) {
            this.upstreams.delete(id);
            this.removals.set(id, { startedAtMs, atMs: this.options.clock.monotonicMs() });
            this.options.log.info("upstream removed", { upstream: id, reason });
            this.notifyListeners();
        }
    }

    /**
     * Applies a listing of all upstreams. Missing ones are removed; after a store outage, only after a grace period.
     * From a store that was restored from an older copy, only what is newer than the known state is applied.
     */
    replaceAll(upstreams: readonly Upstream[], isAfterOutage: boolean, isRestored = false): void {
        const nowMs = this.options.clock.monotonicMs();
        const listed = new Set(upstreams.map(upstream => upstream.id));
        for (const id of [...this.upstreams.keys()]) {
            if (listed.has(id)) {
                continue;
            }
            if (isAfterOutage) {
                this.missingSinceMs.set(id, nowMs);
            }
            else if (!this.missingSinceMs.has(id)) {
                this.remove(id, "missing from the listing");
            }
        }
        for (const upstream of upstreams) {
            const { id } = upstream;
            const isRemoved = upstream.startedAtMs <= (this.removals.get(id)?.startedAtMs ?? -Infinity);
            if (this.withheld.has(id) || (isRestored && isRemoved)) {
                this.withheld.set(id, { upstream, sinceMs: this.withheld.get(id)?.sinceMs ?? nowMs });
            }
            else if (this.isOutdated(upstream, isRestored)) {
                this.missingSinceMs.delete(id);
            }
            else {
                this.set(upstream);
            }
        }
    }

    /** Returns true if an older registration than the known one is listed; one of the same number tells nothing new. */
    private isOutdated({ id, startedAtMs, registrationNumber }: Upstream, isRestored: boolean): boolean {
        const known = this.upstreams.get(id);
        if (!known) {
            return false;
        }
        if (known.startedAtMs !== startedAtMs) {
            return isRestored && startedAtMs < known.startedAtMs;
        }
        return registrationNumber < known.registrationNumber
            || (isRestored && registrationNumber === known.registrationNumber);
    }

    /**
     * Removes the upstreams that have not registered again in time after a store outage, and adds those that a restored
     * store has not removed again.
     */
    expireMissing(): void {
        const nowMs = this.options.clock.monotonicMs();
        for (const [id, sinceMs] of [...this.missingSinceMs]) {
            if (nowMs - sinceMs >= this.options.returnGraceMs) {
                this.remove(id, "did not register again after a store outage");
            }
        }
        for (const { upstream, sinceMs } of [...this.withheld.values()]) {
            if (nowMs - sinceMs >= WITHHOLD_MS) {
                this.set(upstream);
            }
        }
        this.leaving.sweep();
        this.orderedMemberships.sweep();
        this.removals.forEach(({ atMs }, id) => nowMs - atMs > REMOVAL_RETENTION_MS && this.removals.delete(id));
    }

    /**
     * Logs changes that affect where requests are sent. Changes of other group members are logged by the controller.
     */
    private logChange(before: Upstream | undefined, after: Upstream): void {
        const availability = describeAvailability(after);
        const availabilityBefore = before && before.startedAtMs === after.startedAtMs
            ? describeAvailability(before)
            : NO_REQUESTS;
        if (availabilityBefore === availability) {
            return;
        }
        this.options.log.info("upstream changed", {
            upstream: after.id,
            bornMs: after.startedAtMs,
            state: after.state,
            group: after.group?.name,
            epoch: after.group?.epoch,
            phase: after.group?.phase,
        });
    }

    private notifyListeners(): void {
        this.changeCount += 1;
        this.listeners.forEach(listener => listener());
    }
}

/**
 * Describes which requests an upstream takes: those of its group as an open head, those of a plain service, or none.
 */
function describeAvailability({ state, group, domain }: Upstream): string {
    const isOpenHead = group?.rank === 0 && group.phase === "open";
    const isPlain = group === undefined && domain === "";
    const availability = isOpenHead ? `open ${group.epoch}` : isPlain ? "plain" : NO_REQUESTS;
    return state === "ready" ? availability : `${state} ${availability}`;
}
