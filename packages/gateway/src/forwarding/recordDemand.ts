import type { DemandCounts } from "../placement/DemandCounts.js";
import type { FleetDemand } from "../placement/FleetDemand.js";
import type { ForwardedCall } from "./ForwardedCall.js";

/** Counts what has become of a call if its service has engines that serve the model. */
export function recordDemand(demand: FleetDemand, call: ForwardedCall, kind: keyof DemandCounts): void {
    const { service, request: { model }, rank, account } = call;
    if (model !== undefined && service.engine?.models.some(({ name }) => name === model)) {
        demand.record({ kind, service: service.name, model, rank, account });
    }
}
