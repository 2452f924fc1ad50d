import type { Clock } from "@fescuehaven/runtime";
import type { GroupMembership } from "../model/GroupMembership.js";
import type { Upstream } from "../model/Upstream.js";
import type { UpstreamReport } from "../ports/UpstreamReport.js";
import { instanceKeyOf } from "./instanceKeyOf.js";
import type { MembershipOrder } from "./MembershipOrder.js";

interface OrderedMembershipsOptions {
    clock: Clock;
    /** Returns true if the instance that started at this time is registered under the id. */
    isRegistered: (upstream: string, startedAtMs: number) => boolean;
}

/** What an upstream belongs to after the last order that it is known to have carried out. */
interface OrderedMembership {
    upstream: Upstream;
    /** Epoch of the order: registrations of older epochs were written before it. */
    epoch: number;
    /** Group and model after a join; undefined after a leave. */
    joined: Pick<Upstream, "group" | "model"> | undefined;
    /** Number of orders that the upstream had accepted then. */
    orderCount: number;
    /** When it became known, monotonic. */
    atMs: number;
}

/**
 * A registration whose number is higher by this much than the known one was written after the order. Upstreams register
 * every 1.2 s and after each change, which is about 15 s.
 */
const MAX_OUTDATED_REGISTRATIONS = 12;
/** Phases through which a member passes while its group is formed, in this order. */
const formationPhases: ReadonlyArray<GroupMembership["phase"]> = ["joining", "ready", "open"];
/** Instances without a registration are forgotten after this time, like removals in `UpstreamDirectory`. */
const RETENTION_MS = 60_000;

/**
 * Effects of answered `join` and `leave` orders that registrations may not show yet. A registration carries no order
 * count, but epochs of new orders always increase, so that its epoch tells whether it is older than an order.
 */
export class OrderedMemberships {
    private readonly known = new Map<string, OrderedMembership>();

    private constructor(private readonly options: OrderedMembershipsOptions) {}

    /** Creates an instance that knows no orders. */
    static create(options: OrderedMembershipsOptions): OrderedMemberships {
        return new OrderedMemberships(options);
    }

    /** Records an order that an upstream, as last registered, has carried out, and the number of orders accepted then. */
    recordOrder(upstream: Upstream, order: MembershipOrder, orderCount: number): void {
        const instanceKey = instanceKeyOf(upstream);
        const before = this.known.get(instanceKey);
        if (before && before.epoch > order.epoch) {
            return;
        }
        if (order.kind === "close") {
            if (before?.joined?.group) {
                // Registrations go back from open to ready, so that any phase may be newer than the known one.
                const group: GroupMembership = { ...before.joined.group, phase: "joining" };
                this.known.set(instanceKey, { ...before, joined: { ...before.joined, group }, orderCount });
            }
            return;
        }
        this.known.set(instanceKey, {
            upstream,
            epoch: order.epoch,
            joined: order.kind === "join" ? joinedBy(order, upstream.id) : undefined,
            orderCount,
            atMs: this.options.clock.monotonicMs(),
        });
    }

    /** Replaces what is known of an upstream's last order by its report. Returns false if the report is older. */
    recordReport(upstream: Upstream, { group, model, orderCount }: UpstreamReport & { kind: "reported"; }): boolean {
        const instanceKey = instanceKeyOf(upstream);
        const before = this.known.get(instanceKey);
        if (!before || orderCount < before.orderCount) {
            return false;
        }
        const epoch = Math.max(before.epoch, group?.epoch ?? 0);
        this.known.set(instanceKey, { ...before, epoch, orderCount, joined: group && { group, model } });
        return true;
    }

    /** Records a report that shows an upstream further on in its group than its registration does. */
    recordProgress(upstream: Upstream, { group, model, orderCount }: UpstreamReport & { kind: "reported"; }): void {
        const instanceKey = instanceKeyOf(upstream);
        const before = this.known.get(instanceKey);
        if (group && group.epoch >= (before?.epoch ?? 0) && orderCount >= (before?.orderCount ?? 0)) {
            const { epoch } = group;
            const atMs = this.options.clock.monotonicMs();
            this.known.set(instanceKey, { upstream, epoch, joined: { group, model }, orderCount, atMs });
        }
    }

    /** Returns an upstream as it is known to be after its last order, if its registration is older than that. */
    apply(upstream: Upstream): Upstream {
        const membership = this.known.get(instanceKeyOf(upstream));
        if (!membership || !isOlder(upstream, membership)) {
            return upstream;
        }
        return { ...upstream, group: undefined, model: undefined, ...membership.joined };
    }

    /** Forgets orders of which a registration shows the effect. */
    settle(registration: Upstream): void {
        const membership = this.known.get(instanceKeyOf(registration));
        if (membership && !isOlder(registration, membership) && !isAwaited(registration, membership)) {
            this.known.delete(instanceKeyOf(registration));
        }
    }

    /** Forgets all orders. */
    clear(): void {
        this.known.clear();
    }

    /** Forgets instances that have not been registered for long. */
    sweep(): void {
        const { clock, isRegistered } = this.options;
        const sinceMs = clock.monotonicMs() - RETENTION_MS;
        this.known.forEach(({ atMs, upstream: { id, startedAtMs } }, key) =>
            atMs < sinceMs && !isRegistered(id, startedAtMs) && this.known.delete(key)
        );
    }
}

function joinedBy({ group, epoch, model, members }: MembershipOrder & { kind: "join"; }, id: string) {
    return { model, group: { name: group, epoch, rank: members.indexOf(id), phase: "joining" as const } };
}

/** Returns true if a registration shows an earlier phase of a formation than a report of the same epoch. */
function isBehind(registered: GroupMembership["phase"], reported: GroupMembership["phase"]): boolean {
    const index = formationPhases.indexOf(registered);
    return index >= 0 && index < formationPhases.indexOf(reported);
}

/** Returns true if a registration may have been written before an order, as far as its number tells. */
function mayBeOlder({ registrationNumber }: Upstream, { upstream }: OrderedMembership): boolean {
    return registrationNumber <= upstream.registrationNumber + MAX_OUTDATED_REGISTRATIONS;
}

/** Returns true if a registration contradicts the effect of an order and may have been written before it. */
function isOlder(registration: Upstream, membership: OrderedMembership): boolean {
    const { epoch, joined } = membership;
    const registeredEpoch = registration.group?.epoch ?? 0;
    const isEarlierPhase = registeredEpoch === epoch && registration.group !== undefined && joined?.group !== undefined
        && isBehind(registration.group.phase, joined.group.phase);
    const contradicts = joined
        ? registeredEpoch < epoch || isEarlierPhase
        : registration.group !== undefined && registeredEpoch <= epoch;
    return contradicts && mayBeOlder(registration, membership);
}

/**
 * Returns true for a registration without a group after a leave. It may have been written before the join, so that
 * registrations that show the membership may follow it.
 */
function isAwaited(registration: Upstream, membership: OrderedMembership): boolean {
    return !registration.group && !membership.joined && mayBeOlder(registration, membership);
}
