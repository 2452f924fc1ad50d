import type { Clock } from "@fescuehaven/runtime";
import type { ModelProfile } from "../model/ModelProfile.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { PlanningDemand } from "./PlanningDemand.js";
import { shareOfDemand } from "./shareOfDemand.js";
import { SHORTAGE_SHARE } from "./shortageShare.js";
import { unservedShare } from "./unservedShare.js";

/** Requests per second, as of `ageMs` ago. */
interface Figures {
    offeredPerSecond: number;
    refusedPerSecond: number;
    latePerSecond: number;
    ageMs: number;
    /** False while a gateway is missing in the figures. */
    isComplete: boolean;
}

interface DemandPlannerOptions {
    clock: Clock;
    log: DecisionLog;
    demand: {
        poolDemand(service: string, model: string): Figures;
        zoneDemand(service: string, model: string, zone: string): Figures;
    };
}

/** Requests per second for a model, smoothed. */
interface SmoothedDemand {
    offered: number;
    refused: number;
    late: number;
    byZone: Map<string, number>;
}

interface ServiceDemand {
    /** When the figures were last looked at, monotonic. */
    checkedAtMs: number;
    /** When complete figures were last added, monotonic. */
    sampledAtMs: number;
    /** False while the figures are incomplete or too old. */
    isUsable: boolean;
    models: ReadonlyMap<string, SmoothedDemand>;
    /** Shares as they were last logged. */
    logged?: string;
}

/** Figures are counted anew each second. */
const SAMPLE_INTERVAL_MS = 1000;
/**
 * After a longer time without complete figures, smoothing begins again. Gateways that come and go leave figures incomplete
 * for up to two seconds.
 */
const MAX_SAMPLE_GAP_MS = 4500;
/** Older figures do not count. */
const MAX_AGE_MS = 2000;
/** Time constant of the smoothing: a group serves for longer than bursts of a few seconds last, which must not shape it. */
const SMOOTHING_MS = 15_000;

/** Smooths the demand for the models of each service and derives the shares by which groups are planned. */
export class DemandPlanner {
    private readonly services = new Map<string, ServiceDemand>();

    private constructor(private readonly options: DemandPlannerOptions) {}

    /** Creates a planner that knows no demand. */
    static create(options: DemandPlannerOptions): DemandPlanner {
        return new DemandPlanner(options);
    }

    /**
     * Returns the demand by which to plan groups; undefined while the figures are incomplete or too old. Called in every
     * pass of the controller.
     */
    update(
        service: string,
        models: readonly ModelProfile[],
        groups: ReadonlyArray<{ model: ModelProfile; members: ReadonlyArray<{ zone: string; }>; }>,
        upstreams: ReadonlyArray<{ zone: string; }>,
    ): PlanningDemand | undefined {
        const nowMs = this.options.clock.monotonicMs();
        let known = this.services.get(service);
        if (!known || nowMs - known.checkedAtMs >= SAMPLE_INTERVAL_MS) {
            known = this.sample(service, known, models, new Set(upstreams.map(({ zone }) => zone)));
            this.logShares(service, known, models);
            this.services.set(service, known);
        }
        if (!known.isUsable) {
            return undefined;
        }
        const zoneGroupCounts = new Map(models.map(({ name }) => [name, new Map<string, number>()]));
        for (const { model, members: [head] } of groups) {
            const counts = zoneGroupCounts.get(model.name);
            if (head && counts) {
                counts.set(head.zone, (counts.get(head.zone) ?? 0) + 1);
            }
        }
        const zoneShares = new Map([...known.models].map(([model, { offered, byZone }]) => [
            model,
            new Map([...byZone].map(([zone, inZone]) => [zone, offered > 0 ? inZone / offered : 0])),
        ]));
        const shortModels = new Set(
            [...known.models].filter(([, item]) => unservedShare(item) >= SHORTAGE_SHARE).map(([model]) => model),
        );
        return { shares: shareOfDemand(models, known.models), zoneShares, zoneGroupCounts, shortModels };
    }

    private sample(
        service: string,
        known: ServiceDemand | undefined,
        models: readonly ModelProfile[],
        zones: ReadonlySet<string>,
    ): ServiceDemand {
        const { clock, demand } = this.options;
        const checkedAtMs = clock.monotonicMs();
        const figures = models.map(({ name }) => [name, demand.poolDemand(service, name)] as const);
        if (figures.some(([, { isComplete, ageMs }]) => !isComplete || ageMs > MAX_AGE_MS)) {
            return { sampledAtMs: -Infinity, models: new Map(), ...known, checkedAtMs, isUsable: false };
        }
        const gapMs = checkedAtMs - (known?.sampledAtMs ?? -Infinity);
        const before = gapMs <= MAX_SAMPLE_GAP_MS ? known?.models : undefined;
        const sampled = new Map<string, SmoothedDemand>();
        const weight = 1 - Math.exp(-Math.min(gapMs, SAMPLE_INTERVAL_MS) / SMOOTHING_MS);
        for (const [name, { offeredPerSecond, refusedPerSecond, latePerSecond }] of figures) {
            const last = before?.get(name);
            // Before the first sample, the demand counts as served: a single second tells too little.
            const smooth = (value: number, lastValue: number) => lastValue + weight * (value - lastValue);
            sampled.set(name, {
                offered: smooth(offeredPerSecond, last?.offered ?? offeredPerSecond),
                refused: smooth(refusedPerSecond, last?.refused ?? 0),
                late: smooth(latePerSecond, last?.late ?? 0),
                byZone: new Map([...zones].map(zone => {
                    const inZone = demand.zoneDemand(service, name, zone).offeredPerSecond;
                    return [zone, smooth(inZone, last?.byZone.get(zone) ?? inZone)];
                })),
            });
        }
        return { checkedAtMs, sampledAtMs: checkedAtMs, isUsable: true, models: sampled, logged: known?.logged };
    }

    private logShares(service: string, sampled: ServiceDemand, models: readonly ModelProfile[]): void {
        const isByDemand = sampled.isUsable;
        const shares = shareOfDemand(models, isByDemand ? sampled.models : new Map());
        const shown = [...shares].map(([model, share]) => `${model} ${share.toFixed(2)}`).join(", ");
        const logged = `${isByDemand}: ${shown}`;
        const isFirst = sampled.logged === undefined;
        if (logged !== sampled.logged && (isByDemand || !isFirst)) {
            this.options.log.info("planned shares changed", { service, shares: shown, isByDemand });
        }
        sampled.logged = logged;
    }
}
