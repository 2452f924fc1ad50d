import type { Clock } from "@fescuehaven/runtime";
import type { ActiveConfiguration } from "../ActiveConfiguration.js";
import type { EngineProfile } from "../model/EngineProfile.js";
import type { Upstream } from "../model/Upstream.js";
import type { ZoneDelay } from "../model/ZoneDelay.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import { groupBy } from "../util/groupBy.js";
import { memoizeByObject } from "../util/memoizeByObject.js";
import type { AvoidedUpstreams } from "./AvoidedUpstreams.js";
import { delaysFrom } from "./delaysFrom.js";
import type { FailureRateTracker } from "./FailureRateTracker.js";
import type { GroupDirectory } from "./GroupDirectory.js";
import type { SpilloverDecision } from "./SpilloverDecision.js";
import type { SpilloverView } from "./SpilloverView.js";
import { viewPlainSpillover } from "./viewPlainSpillover.js";
import { viewSpillover } from "./viewSpillover.js";
import { ZoneSpillover } from "./ZoneSpillover.js";

interface SpilloverPolicyOptions {
    clock: Clock;
    log: DecisionLog;
    metrics: GatewayMetrics;
    /** Zone of this gateway. */
    zone: string;
    groups: GroupDirectory;
    upstreams: UpstreamDirectory;
    avoidedUpstreams: AvoidedUpstreams;
    failureRates: FailureRateTracker;
    configuration: ActiveConfiguration;
    gatewayCount: () => number;
    /** Time since the view of the upstreams was last updated. */
    viewAgeMs: () => number;
    /** Returns the demand for a model in a zone, as all gateways report it; undefined if it is not known. */
    zoneDemand?: (service: string, model: string, zone: string) => ZoneDemand | undefined;
}

interface ZoneDemand {
    offeredPerSecond: number;
    ageMs: number;
    /** True if all known gateways are included. */
    isComplete: boolean;
}

/** Names the requests among which one decision is made. */
interface PoolFields {
    service: string;
    model?: string;
    targetMs: number;
}

interface StreamPool extends PoolFields {
    model: string;
    engine: EngineProfile;
    coldRequestsPerSecond: number;
}

interface PlainPool extends PoolFields {
    coldRequestsPerSecond: number;
    /** Returns the upstreams that may take requests. */
    upstreams: () => readonly Upstream[];
}

interface PoolState {
    spillover: ZoneSpillover;
    decision: SpilloverDecision;
    decidedAtMs: number;
    /** Share and reason in the last log line, and when it was written. */
    loggedShare: number;
    loggedReason: SpilloverDecision["reason"];
    loggedAtMs: number;
}

/** The usable entries of one configuration's delays. */
interface KnownDelays {
    readAtMs: number;
    delaysMs: ReadonlyMap<string, number>;
    /** The entries that are ignored, as text. */
    ignored: string;
}

/** In smaller fleets every gateway compares all groups, and learns of the others' requests within a tenth of a second. */
const MAX_GATEWAYS_COMPARING_ALL = 12;
/** Decisions are made by requests, at most this often for each pool: loads arrive every 200 ms. */
const DECISION_INTERVAL_MS = 250;
/** A view of this age lacks updates: a watch of the upstreams waits for up to 2.2 s, and is renewed after 0.4 s. */
const STALE_VIEW_MS = 3000;
/** Demand that is older does not count. */
const MAX_DEMAND_AGE_MS = 2000;
/** A zone is cut off if this many heads, or half of them, accepted no connection lately. */
const CUT_OFF_HEADS = 3;
/** After this time without a try, a head that accepted no connection is counted again, and its zone returns in steps. */
const UNREACHABLE_RETENTION_MS = 10_000;
/** The share is logged when it has changed by this much, and at most once in the interval for each pool. */
const LOGGED_SHARE_CHANGE = 0.1;
const LOG_INTERVAL_MS = 5000;
/** A pool without requests for this long starts anew. */
const POOL_RETENTION_MS = 60_000;
/** Interval at which the delays are read again: zones of which no upstream was registered may be known by then. */
const DELAYS_INTERVAL_MS = 5000;
/** Number of ignored delays that a log line names. */
const MAX_LOGGED_DELAYS = 5;

/**
 * Keeps one spillover decision for each model and target latency, and renews it from the groups, loads and demand that
 * this gateway knows. Inactive in small fleets and where no delays between zones are configured.
 */
export class SpilloverPolicy {
    private readonly pools = new Map<string, PoolState>();
    private readonly delaysOf = memoizeByObject((): KnownDelays => ({
        readAtMs: -Infinity,
        delaysMs: new Map(),
        ignored: "[]",
    }));

    private constructor(private readonly options: SpilloverPolicyOptions) {}

    /** Creates a policy without decisions. */
    static create(options: SpilloverPolicyOptions): SpilloverPolicy {
        return new SpilloverPolicy(options);
    }

    /** Number of pools with a decision. */
    get poolCount(): number {
        return this.pools.size;
    }

    /** Returns the current decision for streams; undefined where the choice is made over all zones. */
    decideStreams(pool: StreamPool): SpilloverDecision | undefined {
        const { service, engine, model, targetMs } = pool;
        return this.decide({ service, model, targetMs }, engine.zoneDelays, (delayMs, nowMs) => {
            const { groups, avoidedUpstreams, zoneDemand } = this.options;
            const wasUnreachable = (head: Upstream) => avoidedUpstreams.wasUnreachable(head, UNREACHABLE_RETENTION_MS);
            const byZone = groupBy(groups.candidates(service, engine, model), ({ head }) => head.zone);
            const candidates = [...byZone.values()].flatMap(ofZone => {
                const reachable = ofZone.filter(({ head }) => !wasUnreachable(head));
                const unreachable = ofZone.length - reachable.length;
                return unreachable >= CUT_OFF_HEADS || unreachable * 2 >= ofZone.length ? [] : reachable;
            });
            return viewSpillover({
                nowMs,
                isStale: this.isStale,
                targetMs,
                engine,
                candidates,
                delayMs,
                coldRequestsPerSecond: pool.coldRequestsPerSecond,
                demandPerSecond: zone => {
                    const demand = zoneDemand?.(service, model, zone);
                    return demand?.isComplete && demand.ageMs <= MAX_DEMAND_AGE_MS
                        ? demand.offeredPerSecond
                        : undefined;
                },
            });
        });
    }

    /** Returns the current decision for the requests of a plain service; undefined as above. */
    decidePlain({ service, targetMs, coldRequestsPerSecond, upstreams }: PlainPool): SpilloverDecision | undefined {
        const services = this.options.configuration.current?.services.values() ?? [];
        const zoneDelays = [...services].find(({ engine }) => engine?.zoneDelays)?.engine?.zoneDelays;
        return this.decide({ service, targetMs }, zoneDelays, (delayMs, nowMs) =>
            viewPlainSpillover({
                nowMs,
                isStale: this.isStale,
                targetMs,
                upstreams: upstreams(),
                failureRate: id => this.options.failureRates.failureRate(id),
                delayMs,
                coldRequestsPerSecond,
            }));
    }

    /**
     * Returns the last decision for a pool without renewing it, and its age; undefined if no request has needed one, or
     * decisions are inactive.
     */
    lastDecision(pool: PoolFields): { decision: SpilloverDecision; ageMs: number; } | undefined {
        const state = this.pools.get(keyOf(pool));
        return state && this.options.gatewayCount() > MAX_GATEWAYS_COMPARING_ALL
            ? { decision: state.decision, ageMs: this.options.clock.monotonicMs() - state.decidedAtMs }
            : undefined;
    }

    /** Returns the decision for a pool, renewed if it is due; undefined while decisions are inactive. */
    private decide(
        pool: PoolFields,
        zoneDelays: readonly ZoneDelay[] | undefined,
        createView: (delayMs: (zone: string) => number | undefined, nowMs: number) => SpilloverView,
    ): SpilloverDecision | undefined {
        const { clock, zone: ownZone, gatewayCount } = this.options;
        if (!zoneDelays || gatewayCount() <= MAX_GATEWAYS_COMPARING_ALL) {
            return undefined;
        }
        const nowMs = clock.monotonicMs();
        const delaysMs = this.usableDelays(zoneDelays, nowMs);
        if (delaysMs.size === 0) {
            return undefined;
        }
        const key = keyOf(pool);
        const state = this.pools.get(key) ?? this.addPool(key, nowMs);
        if (nowMs - state.decidedAtMs >= DECISION_INTERVAL_MS) {
            state.decidedAtMs = nowMs;
            const delayMs = (zone: string) => zone === ownZone ? 0 : delaysMs.get(zone);
            state.decision = state.spillover.decide(createView(delayMs, nowMs));
            this.logChange(state, pool, nowMs);
        }
        return state.decision;
    }

    private get isStale(): boolean {
        return this.options.viewAgeMs() > STALE_VIEW_MS;
    }

    /** Counts a request that leaves the zone, and returns the log fields that say where it goes and why. */
    recordSent(upstream: Upstream, reason: string | undefined): { leavesZone?: { zone: string; reason: string; }; } {
        if (reason === undefined) {
            return {};
        }
        this.options.metrics.count("leftZone", upstream.zone);
        return { leavesZone: { zone: upstream.zone, reason } };
    }

    private addPool(key: string, nowMs: number): PoolState {
        this.pools.forEach(({ decidedAtMs }, other) =>
            nowMs - decidedAtMs > POOL_RETENTION_MS && this.pools.delete(other)
        );
        const reason = "own zone suffices";
        const state: PoolState = {
            spillover: ZoneSpillover.create(this.options.zone),
            decision: { share: 0, targets: [], reason },
            decidedAtMs: -Infinity,
            loggedShare: 0,
            loggedReason: reason,
            loggedAtMs: -Infinity,
        };
        this.pools.set(key, state);
        return state;
    }

    private logChange(state: PoolState, pool: PoolFields, nowMs: number): void {
        const { share, targets, reason } = state.decision;
        const isNotable = Math.abs(share - state.loggedShare) >= LOGGED_SHARE_CHANGE
            || (share === 0) !== (state.loggedShare === 0)
            || reason !== state.loggedReason;
        if (!isNotable || nowMs - state.loggedAtMs < LOG_INTERVAL_MS) {
            return;
        }
        this.options.log.info("share of requests that leave the zone changed", {
            ...pool,
            share: round(share),
            before: round(state.loggedShare),
            reason,
            targets: Object.fromEntries(targets.map(({ zone, fraction }) => [zone, round(fraction)])),
            viewAgeMs: Math.round(this.options.viewAgeMs()),
        });
        state.loggedShare = share;
        state.loggedReason = reason;
        state.loggedAtMs = nowMs;
    }

    /** Returns the configured delays from this zone, and logs which of them are ignored whenever that changes. */
    private usableDelays(entries: readonly ZoneDelay[], nowMs: number): ReadonlyMap<string, number> {
        const { zone, upstreams, log } = this.options;
        const known = this.delaysOf(entries);
        if (nowMs - known.readAtMs < DELAYS_INTERVAL_MS) {
            return known.delaysMs;
        }
        const knownZones = new Set([zone, ...[...upstreams.all()].map(upstream => upstream.zone)]);
        const { delaysMs, ignored } = delaysFrom(zone, entries, knownZones);
        known.readAtMs = nowMs;
        known.delaysMs = delaysMs;
        const text = JSON.stringify(ignored);
        if (text !== known.ignored) {
            known.ignored = text;
            log.warn("delays between zones ignored", {
                ignored: ignored.length,
                entries: ignored.slice(0, MAX_LOGGED_DELAYS).map(({ entry, reason }) => ({ ...entry, reason })),
            });
        }
        return delaysMs;
    }
}

function keyOf({ service, model, targetMs }: PoolFields): string {
    return JSON.stringify([service, model, targetMs]);
}

function round(fraction: number): number {
    return Math.round(fraction * 100) / 100;
}
