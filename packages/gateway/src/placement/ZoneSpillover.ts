import type { SpilloverDecision } from "./SpilloverDecision.js";
import type { SpilloverView } from "./SpilloverView.js";

type ZoneView = SpilloverView["zones"][number];

/** What is remembered of a zone between decisions. */
interface KnownZone {
    /** When its groups were seen after it had none, or after its loads were missing; -Infinity if neither. Monotonic. */
    sinceMs: number;
    seenAtMs: number;
    held: number;
    capacity: number;
    /** When its loads vanished, although its groups remained. */
    missingSinceMs?: number;
}

interface ZoneRoom {
    zone: string;
    /** Requests that its groups may hold at once. */
    capacity: number;
    /** Part of the capacity that is taken, or that would serve a request too late. */
    held: number;
    /** Requests that it can take from other zones. */
    free: number;
    demandPerSecond?: number;
}

/**
 * Occupancy at which requests begin to leave. Loads of other gateways arrive some hundred ms late, and the arrivals of
 * that time must still find slots in the zone.
 */
const SPILL_FROM_OCCUPANCY = 0.66;
/**
 * Share that leaves, per unit of occupancy above that. With larger factors more leaves and callers gain nothing; from about
 * 4 on, the share swings where loads are 400 ms late.
 */
const SHARE_PER_OCCUPANCY = 2;
/** Other zones are filled up to this occupancy, so that their own requests find slots. */
const FILL_TO_OCCUPANCY = 0.85;
/** Part of a zone's capacity that its demand may use before requests leave, where the demand of all zones is known. */
const PLANNED_OCCUPANCY = 0.75;
/** Below the first of these occupancies nothing leaves, whatever the demand; from the second on, all that is planned. */
const CONFIRMED_OCCUPANCY = { from: 0.5, to: 0.7 };
/** Fraction of the target within which the predicted first event must be; predictions are of the mean. */
const IN_TIME_FRACTION = 0.85;
/** Largest change of the share per second: a zone that takes over must see the load before more arrives. */
const SHARE_CHANGE_PER_SECOND = 1;
/** The last decision holds for this long while the view is stale. */
const HOLD_MS = 5000;
/** A zone that was gone gets this part of its share at first, and as much more after each step. */
const RETURN_STEP_FRACTION = 0.25;
const RETURN_STEP_MS = 1000;
/** A zone that has not been seen for this long was gone; a shorter absence may be one lost update. */
const GONE_AFTER_MS = 1500;
/**
 * Loads vanish if they fall from more than the fraction `from` of the capacity, and at least `requests`, to less than the
 * fraction `to` within the time above. Requests do not end like that: the gateway that relays the loads is lost.
 */
const VANISHED = { from: 0.2, requests: 10, to: 0.02 };
/** From then on, a zone without load counts as idle. */
const MAX_MISSING_MS = 30_000;

const OWN_ZONE_FIRST = { share: 0, targets: [] } as const;

/**
 * Decides which part of a zone's requests other zones serve, from the loads of all open groups. Traffic between zones is
 * slower and is billed, so requests stay as long as the own zone can serve them in time. What leaves is divided in
 * proportion to free capacity: gateways that see the same shortage don't all send to the same place.
 */
export class ZoneSpillover {
    private readonly known = new Map<string, KnownZone>();
    private last: SpilloverDecision = { ...OWN_ZONE_FIRST, reason: "own zone suffices" };
    private decidedAtMs = -Infinity;
    /** When the view was last used, fresh or not; monotonic. */
    private seenAtMs = -Infinity;

    private constructor(private readonly ownZone: string) {}

    /** Creates a decision for the requests that arrive in a zone. */
    static create(ownZone: string): ZoneSpillover {
        return new ZoneSpillover(ownZone);
    }

    /** Decides again. The result depends only on this view and the earlier ones. */
    decide(view: SpilloverView): SpilloverDecision {
        const own = view.zones.find(({ zone }) => zone === this.ownZone);
        const isOwnMissing = own !== undefined && this.observe(own, view.nowMs);
        const others = view.zones.filter(({ zone }) => zone !== this.ownZone);
        const missing = others.filter(zone => this.observe(zone, view.nowMs)).map(({ zone }) => zone);
        this.seenAtMs = view.nowMs;
        if (view.isStale || isOwnMissing) {
            return view.nowMs - this.decidedAtMs <= HOLD_MS
                ? { ...this.last, reason: "view is stale" }
                : this.remember({ ...OWN_ZONE_FIRST, reason: "view is stale" }, this.decidedAtMs);
        }
        const ownRoom = this.roomOf(own ?? { zone: this.ownZone, delayMs: 0, groups: [] }, view);
        const rooms = others.filter(({ zone }) => !missing.includes(zone)).map(zone => this.roomOf(zone, view));
        const free = rooms.reduce((sum, room) => sum + room.free, 0);
        const targets = free > 0
            ? rooms.filter(room => room.free > 0).map(room => ({ zone: room.zone, fraction: room.free / free }))
            : [];
        if (ownRoom.capacity === 0) {
            return this.remember({ share: 1, targets, reason: "own zone has no group" }, view.nowMs);
        }
        const wanted = Math.max(shareByLoad(ownRoom, rooms), shareByDemand(ownRoom, rooms, view.holdMs));
        const possible = Math.min(wanted, this.possibleShare(ownRoom, free));
        const elapsedS = Math.min(1, (view.nowMs - this.decidedAtMs) / 1000);
        const largest = this.last.share + SHARE_CHANGE_PER_SECOND * elapsedS;
        const smallest = this.last.share - SHARE_CHANGE_PER_SECOND * elapsedS;
        const share = targets.length === 0 ? 0 : Math.max(0, smallest, Math.min(possible, largest));
        const isShort = share > 0 || ownRoom.held > SPILL_FROM_OCCUPANCY * ownRoom.capacity;
        const shortReason = targets.length === 0 ? "no other zone has room" : "own zone is short";
        const reason = isShort ? shortReason : "own zone suffices";
        return this.remember({ share, targets, reason }, view.nowMs);
    }

    private remember(decision: SpilloverDecision, decidedAtMs: number): SpilloverDecision {
        this.last = decision;
        this.decidedAtMs = decidedAtMs;
        return decision;
    }

    /** Records what is seen of a zone; returns true while its loads are missing. */
    private observe({ zone, groups }: ZoneView, nowMs: number): boolean {
        const capacity = groups.reduce((sum, { slots }) => sum + slots, 0);
        const held = groups.reduce((sum, { inFlight }) => sum + inFlight, 0);
        const before = this.known.get(zone);
        // Zones that are open at the first decision have not been gone.
        const isBack = this.seenAtMs > -Infinity && (!before || before.seenAtMs < this.seenAtMs)
            && nowMs - (before?.seenAtMs ?? -Infinity) > GONE_AFTER_MS;
        const known: KnownZone = {
            sinceMs: isBack ? nowMs : before?.sinceMs ?? -Infinity,
            seenAtMs: nowMs,
            held,
            capacity,
        };
        this.known.set(zone, known);
        if (!before || isBack || held >= VANISHED.to * capacity) {
            return false;
        }
        const vanishes = nowMs - before.seenAtMs <= GONE_AFTER_MS
            && before.held > Math.max(VANISHED.from * before.capacity, VANISHED.requests);
        known.missingSinceMs = before.missingSinceMs ?? (vanishes ? nowMs : undefined);
        if (known.missingSinceMs === undefined) {
            return false;
        }
        if (nowMs - known.missingSinceMs > MAX_MISSING_MS) {
            known.missingSinceMs = undefined;
            known.sinceMs = nowMs;
            return false;
        }
        return true;
    }

    private roomOf({ zone, delayMs, groups, demandPerSecond }: ZoneView, view: SpilloverView): ZoneRoom {
        const limitMs = view.targetMs * IN_TIME_FRACTION - 2 * delayMs;
        let capacity = 0;
        let held = 0;
        for (const { slots, inFlight, firstEventMs } of groups) {
            capacity += slots;
            held += firstEventMs <= limitMs ? Math.min(slots, inFlight) : slots;
        }
        const { sinceMs = -Infinity } = this.known.get(zone) ?? {};
        const steps = Math.floor((view.nowMs - sinceMs) / RETURN_STEP_MS) + 1;
        const returned = Math.min(1, RETURN_STEP_FRACTION * steps);
        const free = Math.max(0, capacity * FILL_TO_OCCUPANCY - held) * returned;
        return { zone, capacity, held, free, demandPerSecond };
    }

    /** Returns the largest share for which the other zones have room, if all zones' gateways decide alike. */
    private possibleShare(own: ZoneRoom, free: number): number {
        // What left before is part of the demand, and is held elsewhere already.
        const demanded = Math.max(1, own.held / Math.max(0.1, 1 - this.last.share));
        return Math.min(1, this.last.share + free / demanded);
    }
}

/**
 * Returns the share that should leave because the own zone's slots are taken. Between zones that are equally occupied,
 * nothing is gained.
 */
function shareByLoad(own: ZoneRoom, others: readonly ZoneRoom[]): number {
    const open = others.filter(({ capacity }) => capacity > 0);
    const sumOf = (pick: (room: ZoneRoom) => number) => open.reduce((sum, room) => sum + pick(room), 0);
    const elsewhere = open.length > 0 ? sumOf(({ held }) => held) / sumOf(({ capacity }) => capacity) : 1;
    const occupancy = own.held / own.capacity;
    const excess = occupancy - Math.max(SPILL_FROM_OCCUPANCY, elsewhere);
    return Math.min(1, Math.max(0, excess) * SHARE_PER_OCCUPANCY);
}

/** Returns the share that should leave because more requests arrive than the own zone can serve; 0 if not known. */
function shareByDemand(own: ZoneRoom, others: readonly ZoneRoom[], holdMs: number): number {
    const { demandPerSecond } = own;
    if (!demandPerSecond || others.some(room => room.demandPerSecond === undefined)) {
        return 0;
    }
    const surplusOf = (room: ZoneRoom) =>
        (room.demandPerSecond ?? 0) - PLANNED_OCCUPANCY * room.capacity * 1000 / holdMs;
    const surplus = surplusOf(own);
    if (surplus <= 0) {
        return 0;
    }
    const surpluses = others.map(surplusOf);
    const totalSurplus = surplus + surpluses.reduce((sum, value) => sum + Math.max(0, value), 0);
    const totalFree = surpluses.reduce((sum, value) => sum + Math.max(0, -value), 0);
    const served = Math.min(1, totalFree / totalSurplus);
    const { from, to } = CONFIRMED_OCCUPANCY;
    const confirmed = Math.min(1, Math.max(0, (own.held / own.capacity - from) / (to - from)));
    return surplus / demandPerSecond * served * confirmed;
}
