import type { Clock } from "@fescuehaven/runtime";
import type { EngineProfile } from "../model/EngineProfile.js";
import type { ModelProfile } from "../model/ModelProfile.js";
import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import { groupBy } from "../util/groupBy.js";
import { instanceKeyOf } from "./instanceKeyOf.js";
import type { ManagedGroup } from "./ManagedGroup.js";
import type { OrderSender } from "./OrderSender.js";
import { standbyGroups } from "./standbyGroups.js";
import type { WeightLoadLimiter } from "./WeightLoadLimiter.js";

interface StandbyPoolOptions {
    clock: Clock;
    log: DecisionLog;
    orders: OrderSender;
    weightLoadLimiter: WeightLoadLimiter;
    /** Returns true once requests have arrived. */
    hasTraffic: () => boolean;
}

/** Time added to the expected duration of an order before it is repeated. */
const REPEAT_MARGIN_MS = 2500;
/** Before traffic starts, loading weights takes a tenth of the usual time. */
const IDLE_LOAD_TIME_FACTOR = 0.1;

/** Prepares spares for the models that are most likely to need a new member next. */
export class StandbyPool {
    /** When each order to an instance is expected to be completed, monotonic; keyed by instance, order and model. */
    private readonly busyUntilMs = new Map<string, number>();

    private constructor(private readonly options: StandbyPoolOptions) {}

    /** Creates a pool without orders in progress. */
    static create(options: StandbyPoolOptions): StandbyPool {
        return new StandbyPool(options);
    }

    /** Stages weights on the hosts of spares, and loads staged weights into memory through standby groups. */
    prepareSpares(
        service: string,
        engine: EngineProfile,
        spares: readonly Upstream[],
        groups: ReadonlyMap<string, ManagedGroup>,
        newEpoch: () => number,
    ): void {
        const serving = [...groups.values()].filter(group => group.service === service);
        if (serving.some(group => group.phase === "joining" && group.lostAtMs === undefined)) {
            // New groups have priority: concurrent weight loads slow each other down.
            return;
        }
        for (const [domain, inDomain] of groupBy(spares, upstream => upstream.domain)) {
            const models = wantedModels(engine, serving.filter(group => group.domain === domain));
            this.assign(inDomain, models).forEach(([spare, model]) =>
                this.prepareSpare(spare, model, engine, newEpoch)
            );
        }
    }

    /** Assigns a model to each spare. A spare that is already prepared for a wanted model keeps it. */
    private assign(spares: readonly Upstream[], models: readonly ModelProfile[]): Array<[Upstream, ModelProfile]> {
        const unassigned = [...spares].sort((one, other) => one.id.localeCompare(other.id));
        const assigned: Array<[Upstream, ModelProfile]> = [];
        for (let index = 0; unassigned.length > 0 && models.length > 0; index++) {
            const model = models[index % models.length]!;
            const preparationStep = (spare: Upstream) =>
                spare.model === model.name ? 0 : spare.stagedModels.includes(model.name) ? 1 : 2;
            const best = unassigned.reduce((one, other) => preparationStep(other) < preparationStep(one) ? other : one);
            unassigned.splice(unassigned.indexOf(best), 1);
            assigned.push([best, model]);
        }
        return assigned;
    }

    private prepareSpare(spare: Upstream, model: ModelProfile, engine: EngineProfile, newEpoch: () => number): void {
        const { clock, orders, weightLoadLimiter, log, hasTraffic } = this.options;
        const isStaged = spare.stagedModels.includes(model.name);
        const workKey = `${instanceKeyOf(spare)} ${isStaged ? "join" : "stage"} ${model.name}`;
        const nowMs = clock.monotonicMs();
        const isReady = spare.model === model.name && spare.group !== undefined;
        if (isReady || orders.isBusy(spare) || (this.busyUntilMs.get(workKey) ?? 0) > nowMs) {
            return;
        }
        if (isStaged) {
            this.busyUntilMs.set(workKey, nowMs + model.loadFromHostMs + REPEAT_MARGIN_MS);
            const group = standbyGroups.nameOf(spare.id);
            log.info("loading model into spare memory", { upstream: spare.id, model: model.name });
            const join = { kind: "join", group, epoch: newEpoch(), model: model.name, members: [spare.id] } as const;
            void orders.send(spare, join);
            return;
        }
        if (!weightLoadLimiter.tryAcquire(1, engine.weightLoadsPerSecond)) {
            return;
        }
        const stagingMs = model.loadFromStoreMs * (hasTraffic() ? 1 : IDLE_LOAD_TIME_FACTOR);
        this.busyUntilMs.set(workKey, nowMs + stagingMs * 2 + REPEAT_MARGIN_MS);
        log.info("staging model on spare", { upstream: spare.id, model: model.name });
        void orders.send(spare, { kind: "stage", model: model.name });
    }
}

/**
 * Returns the models of a domain's groups, or all models if it has none. Those with the most members come first, as
 * they are the most likely to lose one.
 */
function wantedModels(engine: EngineProfile, groups: readonly ManagedGroup[]): ModelProfile[] {
    const memberTotal = (model: ModelProfile) =>
        groups.filter(group => group.model.name === model.name).length * model.memberCount;
    const wanted = engine.models.filter(model => memberTotal(model) > 0).sort((one, other) =>
        memberTotal(other) - memberTotal(one)
    );
    return wanted.length > 0 ? wanted : [...engine.models].sort((one, other) => other.memberCount - one.memberCount);
}
