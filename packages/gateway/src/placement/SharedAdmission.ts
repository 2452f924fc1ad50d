import type { Clock, Random } from "@fescuehaven/runtime";
import type { ActiveConfiguration } from "../ActiveConfiguration.js";
import type { Service } from "../model/Service.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import { hash32 } from "../util/hash32.js";
import { AdmissionLevel } from "./AdmissionLevel.js";
import { CapacityCorrection } from "./CapacityCorrection.js";
import { configuredRanks } from "./configuredRanks.js";
import type { DemandFigures } from "./DemandFigures.js";
import type { FleetDemand } from "./FleetDemand.js";
import { groupCapacity } from "./groupCapacity.js";
import type { GroupDirectory } from "./GroupDirectory.js";
import { groupRate } from "./groupRate.js";

interface SharedAdmissionOptions {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    configuration: ActiveConfiguration;
    demand: FleetDemand;
    groups: GroupDirectory;
}

/** Properties of a request that matter for its admission. */
interface RankedRequest {
    service: Service;
    model: string | undefined;
    rank: number;
    /** Name of the client account. */
    account?: string;
}

type AdmissionDecision = { kind: "admitted"; } | { kind: "refused"; retryAfterMs: number; reason: string; };

interface PoolState {
    computedAtMs: number;
    correctedAtMs: number;
    correction: CapacityCorrection;
    isActive: boolean;
    level: AdmissionLevel;
    /** True from the line in the log that says that a shortage has begun until the one that says that it is over. */
    isShortageLogged: boolean;
    /** When there was a shortage last, on the monotonic clock. */
    shortAtMs: number;
}

/** The level is computed again after this time: figures come once a second, groups open and close in between. */
const LEVEL_TTL_MS = 500;
/** Interval of the figures from which the estimated capacity is corrected. */
const CORRECTION_INTERVAL_MS = 1000;
/** Older figures do not count; the local rule applies instead. */
const MAX_FIGURES_AGE_MS = 2000;
/**
 * A pool with more free slots is not short, whatever the estimate: its requests may be much shorter than the configured
 * typical request. Admission at the capacity keeps more slots in use than that.
 */
const MIN_USED_SLOT_SHARE = 0.5;
/** A shortage is over in the log after this time without one: at the limit, single seconds are short. */
const SHORTAGE_END_MS = 5000;
/** Largest random addition to a retry-after delay, as a fraction of it, so that callers do not return together. */
const RETRY_AFTER_JITTER = 0.5;
/** Engines take priorities from 0 to 9; requests without one, such as those of earlier builds, have 5. */
const ENGINE_PRIORITIES = 10;
const DEFAULT_ENGINE_PRIORITY = 5;

const ADMITTED: AdmissionDecision = { kind: "admitted" };

const withoutShortage = AdmissionLevel.create([], 0);

/**
 * Decides during a shortage which requests wait for a slot at all. Every gateway computes the same shares from the figures
 * of the fleet, and draws for each request. Without complete and recent figures, or where all requests have the same rank,
 * everything is admitted and only the local rules apply.
 */
export class SharedAdmission {
    private readonly pools = new Map<string, PoolState>();

    private constructor(private readonly options: SharedAdmissionOptions) {}

    /** Creates an instance that admits everything until there are figures. */
    static create(options: SharedAdmissionOptions): SharedAdmission {
        return new SharedAdmission(options);
    }

    /** Decides about a request that is not yet at an upstream. */
    decide(request: RankedRequest): AdmissionDecision {
        const { isActive, level } = this.poolOf(request) ?? {};
        if (!isActive || !level?.isShort) {
            return ADMITTED;
        }
        const { random } = this.options;
        const account = request.account === undefined ? undefined : hash32(request.account);
        if (random.next() < level.ratioOf(request.rank, account)) {
            return ADMITTED;
        }
        return {
            kind: "refused",
            retryAfterMs: this.retryAfterMs(request),
            reason: "capacity goes to other requests",
        };
    }

    /** Returns when a refused request should be sent again, spread at random; 0 without a shortage. */
    retryAfterMs(request: RankedRequest): number {
        const { isActive, level } = this.poolOf(request) ?? {};
        return isActive && level?.isShort
            ? level.retryAfterMs(request.rank) * (1 + RETRY_AFTER_JITTER * this.options.random.next())
            : 0;
    }

    /** Returns true while a pool cannot serve all requests, so that none that would be late may take its slots. */
    isShort(request: RankedRequest): boolean {
        const pool = this.poolOf(request);
        return pool !== undefined && pool.isActive && pool.level.isShort;
    }

    /** Returns true if the configuration leads to more than one rank for a service's streams. */
    hasRanks(service: string): boolean {
        return this.ranksOf(service).length > 1;
    }

    /** Returns the priority of a request among those that wait at its engine; undefined if all have the same rank. */
    enginePriority(service: string, rank: number): number | undefined {
        const ranks = this.ranksOf(service);
        const index = ranks.indexOf(rank);
        if (ranks.length < 2 || index < 0) {
            return undefined;
        }
        return ranks.length > ENGINE_PRIORITIES
            ? Math.floor(index * ENGINE_PRIORITIES / ranks.length)
            : Math.max(0, DEFAULT_ENGINE_PRIORITY - Math.floor(ranks.length / 2)) + index;
    }

    private ranksOf(service: string): readonly number[] {
        const { current } = this.options.configuration;
        return current && configuredRanks(current).get(service)?.ranks || [];
    }

    /** Returns the state of a request's pool; undefined if its requests are not ranked. */
    private poolOf({ service, model }: RankedRequest): PoolState | undefined {
        const profile = service.engine?.models.find(({ name }) => name === model);
        if (!profile || !this.hasRanks(service.name)) {
            return undefined;
        }
        const nowMs = this.options.clock.monotonicMs();
        const key = `${service.name}/${profile.name}`;
        const pool = this.pools.get(key) ?? {
            computedAtMs: -Infinity,
            correctedAtMs: -Infinity,
            correction: CapacityCorrection.create(),
            isActive: false,
            level: withoutShortage,
            isShortageLogged: false,
            shortAtMs: -Infinity,
        };
        this.pools.set(key, pool);
        if (nowMs - pool.computedAtMs >= LEVEL_TTL_MS) {
            pool.computedAtMs = nowMs;
            this.update(pool, service, profile.name);
        }
        return pool;
    }

    private update(pool: PoolState, service: Service, model: string): void {
        const { clock, log, demand } = this.options;
        const figures = demand.poolDemand(service.name, model);
        const isActive = figures.isComplete && figures.ageMs <= MAX_FIGURES_AGE_MS;
        if (isActive !== pool.isActive) {
            pool.isActive = isActive;
            log.info(isActive ? "shared admission active" : "shared admission inactive", {
                service: service.name,
                model,
                reason: isActive ? undefined : figures.isComplete ? "figures too old" : "not all gateways report",
                gateways: demand.reportingGateways,
                ageMs: Math.round(figures.ageMs),
            });
        }
        const level = isActive ? this.computeLevel(pool, figures, service, model) : withoutShortage;
        const nowMs = clock.monotonicMs();
        pool.shortAtMs = level.isShort ? nowMs : pool.shortAtMs;
        const isShortage = nowMs - pool.shortAtMs < SHORTAGE_END_MS;
        if (isShortage !== pool.isShortageLogged) {
            pool.isShortageLogged = isShortage;
            log.info(isShortage ? "shortage of capacity begins" : "shortage of capacity ends", {
                service: service.name,
                model,
                offeredPerSecond: figures.offeredPerSecond,
                shares: isShortage
                    ? figures.ranks.map(({ rank }) => `${rank}:${level.ratioOf(rank).toFixed(2)}`).join(" ")
                    : undefined,
                capacityFactor: Number(pool.correction.factor.toFixed(2)),
                ageMs: Math.round(figures.ageMs),
            });
        }
        pool.level = level;
    }

    private computeLevel(pool: PoolState, figures: DemandFigures, service: Service, modelName: string): AdmissionLevel {
        const { clock, configuration, groups } = this.options;
        const { engine } = service;
        const model = engine?.models.find(({ name }) => name === modelName);
        const ranks = configuration.current && configuredRanks(configuration.current).get(service.name);
        const open = engine ? groups.candidates(service.name, engine, modelName) : [];
        if (!engine || !model || !ranks || open.length === 0) {
            // Without groups, requests wait for those that are being formed, or are refused because nothing serves them.
            return withoutShortage;
        }
        const capacityPerSecond = open.length * groupCapacity(engine, model, ranks.targetLatencyMs);
        const inFlight = open.reduce((sum, { load }) => sum + load.inFlight, 0);
        const usedSlotShare = inFlight / (open.length * engine.slots);
        const nowMs = clock.monotonicMs();
        if (nowMs - pool.correctedAtMs >= CORRECTION_INTERVAL_MS) {
            pool.correctedAtMs = nowMs;
            pool.correction.update(figures, {
                capacityPerSecond,
                ratePerSecond: open.length * groupRate(engine, model, inFlight / open.length),
                usedSlotShare,
            });
        }
        if (usedSlotShare < MIN_USED_SLOT_SHARE) {
            return withoutShortage;
        }
        return AdmissionLevel.create(figures.ranks, capacityPerSecond * pool.correction.factor);
    }
}
