import type { ModelProfile } from "../model/ModelProfile.js";
import { SHORTAGE_SHARE } from "./shortageShare.js";
import { unservedShare } from "./unservedShare.js";

/** Requests for a model per second. */
interface Demand {
    offered: number;
    refused: number;
    late: number;
}

/** Bounds of a planned share relative to the configured one. */
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 2;
/** Factors are planned in these steps, so that small changes of the demand change nothing. */
const FACTOR_STEP = 0.25;

/**
 * Returns the share of a service's work for each model. The configured shares hold while no model is short of groups: they
 * take the sizes of requests into account, which the number of requests does not. The share of a model that is short
 * grows by as much as its groups would have to. The share of one that is not short shrinks as far as fewer of its requests
 * arrive than its configured share is of all.
 */
export function shareOfDemand(
    models: readonly ModelProfile[],
    demand: ReadonlyMap<string, Demand>,
): Map<string, number> {
    const totalShare = models.reduce((sum, { demandShare }) => sum + demandShare, 0);
    const totalOffered = models.reduce((sum, { name }) => sum + (demand.get(name)?.offered ?? 0), 0);
    const hasShortage = [...demand.values()].some(item => unservedShare(item) >= SHORTAGE_SHARE);
    return new Map(models.map(({ name, demandShare }) => {
        const item = demand.get(name);
        if (!item || !hasShortage) {
            return [name, demandShare];
        }
        const unserved = unservedShare(item);
        const factor = unserved >= SHORTAGE_SHARE
            ? 1 / (1 - unserved)
            : Math.min(1, item.offered * totalShare / Math.max(1e-9, totalOffered * demandShare));
        const stepped = Math.round(factor / FACTOR_STEP) * FACTOR_STEP;
        return [name, demandShare * Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, stepped))];
    }));
}
