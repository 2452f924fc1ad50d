import type { Upstream } from "../model/Upstream.js";
import type { SpilloverView } from "./SpilloverView.js";

type Zone = SpilloverView["zones"][number];

interface PlainSpilloverInputs extends Pick<SpilloverView, "nowMs" | "isStale" | "targetMs"> {
    /** The plain service's upstreams that may take requests. */
    upstreams: readonly Upstream[];
    /** Returns the share of this gateway's recent requests that an upstream rejected or failed. */
    failureRate: (upstreamId: string) => number;
    delayMs: (zone: string) => number | undefined;
    coldRequestsPerSecond: number;
}

/**
 * Gateways do not report loads of plain upstreams. An upstream that rejects requests is full at times: its occupancy is
 * estimated as `full` plus the rejected share; one that seldom rejects any counts as half occupied.
 */
const OCCUPANCY = { usual: 0.5, full: 0.66 };
/** One rejection among five requests. */
const SELDOM = 0.2;

/** Returns what each zone's plain upstreams can take. Zones without a configured latency are left out. */
export function viewPlainSpillover(inputs: PlainSpilloverInputs): SpilloverView {
    const { upstreams, failureRate, delayMs, coldRequestsPerSecond, nowMs, isStale, targetMs } = inputs;
    const zones = new Map<string, Zone & { groups: Array<Zone["groups"][number]>; }>();
    for (const upstream of upstreams) {
        const pathMs = delayMs(upstream.zone);
        if (pathMs === undefined) {
            continue;
        }
        const isLimited = coldRequestsPerSecond > 0 && upstream.coldUntilMs > nowMs;
        const slots = isLimited
            ? Math.min(upstream.slots, Math.ceil(coldRequestsPerSecond * targetMs / 1000))
            : upstream.slots;
        const rejected = failureRate(upstream.id);
        const occupancy = rejected < SELDOM ? OCCUPANCY.usual : Math.min(1, OCCUPANCY.full + rejected);
        const zone = zones.get(upstream.zone) ?? { zone: upstream.zone, delayMs: pathMs, groups: [] };
        zones.set(upstream.zone, zone);
        zone.groups.push({ slots, inFlight: slots * occupancy, firstEventMs: 0 });
    }
    return { nowMs, isStale, targetMs, holdMs: targetMs, zones: [...zones.values()] };
}
