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

/** What a `StandbyPool` is made of. */
interface StandbyPoolOptions {
    clock: Clock;
    log: DecisionLog;
    orders: OrderSender;
    weightLoadLimiter: WeightLoadLimiter;
    /** True once requests arrive. */
    hasTraffic: () => boolean;
}

/** An order is not repeated for this long beyond the time that it takes, ms. */
const ORDER_SETTLES_MS = 2500;
/** Early loads run at a tenth of their time. */
const EARLY_LOAD_FACTOR = 0.1;

/** Gets spare VMs ready for the models that are most likely to need a member next. */
export class StandbyPool {
    /** Orders to lives, and until when each is expected to be at work, monotonic ms. */
    private readonly atWorkUntilMs = new Map<string, number>();

    private constructor(private readonly options: StandbyPoolOptions) {}

    /** Creates the pool. */
    static create(options: StandbyPoolOptions): StandbyPool {
        return new StandbyPool(options);
    }

    /** Stages weights on spares, and takes staged ones into memory. */
    keep(
        service: string,
        engine: EngineProfile,
        spares: readonly Upstream[],
        groups: ReadonlyMap<string, ManagedGroup>,
        newEpoch: () => number,
    ): void {
        const serving = [...groups.values()].filter(group => group.service === service);
        if (serving.some(group => group.phase === "joining" && group.lostAtMs === undefined)) {
            // Groups come first: loads at the same time slow each other down.
            return;
        }
        for (const [domain, inDomain] of groupBy(spares, upstream => upstream.domain)) {
            const models = wantedModels(engine, serving.filter(group => group.domain === domain));
            this.assign(inDomain, models).forEach(([spare, model]) => this.prepare(spare, model, engine, newEpoch));
        }
    }

    /** Gives each spare a model; one that is ready for a wanted model already keeps it. */
    private assign(spares: readonly Upstream[], models: readonly ModelProfile[]): Array<[Upstream, ModelProfile]> {
        const left = [...spares].sort((one, other) => one.id.localeCompare(other.id));
        const assigned: Array<[Upstream, ModelProfile]> = [];
        for (let index = 0; left.length > 0 && models.length > 0; index++) {
            const model = models[index % models.length]!;
            const rank = (spare: Upstream) =>
                spare.model === model.name ? 0 : spare.stagedModels.includes(model.name) ? 1 : 2;
            const best = left.reduce((one, other) => rank(other) < rank(one) ? other : one);
            left.splice(left.indexOf(best), 1);
            assigned.push([best, model]);
        }
        return assigned;
    }

    private prepare(spare: Upstream, model: ModelProfile, engine: EngineProfile, newEpoch: () => number): void {
        const { clock, orders, weightLoadLimiter, log, hasTraffic } = this.options;
        const isStaged = spare.stagedModels.includes(model.name);
        const work = `${instanceKeyOf(spare)} ${isStaged ? "join" : "stage"} ${model.name}`;
        const nowMs = clock.monotonicMs();
        const isReady = spare.model === model.name && spare.group !== undefined;
        if (isReady || orders.isBusy(spare) || (this.atWorkUntilMs.get(work) ?? 0) > nowMs) {
            return;
        }
        if (isStaged) {
            this.atWorkUntilMs.set(work, nowMs + model.loadFromHostMs + ORDER_SETTLES_MS);
            const group = standbyGroups.nameOf(spare.id);
            log.info("spare takes a model into memory", { upstream: spare.id, model: model.name });
            const join = { kind: "join", group, epoch: newEpoch(), model: model.name, members: [spare.id] } as const;
            void orders.send(spare, join);
            return;
        }
        if (!weightLoadLimiter.tryAcquire(1, engine.weightLoadsPerSecond)) {
            return;
        }
        const stagingMs = model.loadFromStoreMs * (hasTraffic() ? 1 : EARLY_LOAD_FACTOR);
        this.atWorkUntilMs.set(work, nowMs + stagingMs * 2 + ORDER_SETTLES_MS);
        log.info("spare stages a model", { upstream: spare.id, model: model.name });
        void orders.send(spare, { kind: "stage", model: model.name });
    }
}

/** Models of a domain's groups, the one with most members first: it is most likely to lose one. */
function wantedModels(engine: EngineProfile, groups: readonly ManagedGroup[]): ModelProfile[] {
    const members = (model: ModelProfile) =>
        groups.filter(group => group.model.name === model.name).length * model.memberCount;
    const wanted = engine.models.filter(model => members(model) > 0).sort((one, other) =>
        members(other) - members(one)
    );
    return wanted.length > 0 ? wanted : [...engine.models].sort((one, other) => other.memberCount - one.memberCount);
}
