import type { StoredObject } from "@fescuehaven/platform";
import { type ResourceKind, resourceSchemas, type ResourceValue } from "@fescuehaven/resources";

const summaries: { [K in ResourceKind]: (value: ResourceValue<K>) => string; } = {
    "model-version": value => `model ${value.model}, version ${value.version}`,
    "serving-group": value => `${value.memberCount} VMs in ${value.zone} for ${value.modelVersion}`,
    service: value => `${value.endpoints.length} endpoints`,
    route: value =>
        value.target.kind === "model"
            ? `model ${value.target.model}`
            : `service ${value.target.service}${value.target.repeatable ? "" : ", at most once"}`,
    "client-account": value => `weight ${value.weight}, ${value.maxConcurrentRequests} at once`,
    "maintenance-intent": value =>
        `${value.target.kind} ${value.target.name} out of service for ${value.requestedBy}: ${value.reason}`,
    "zone-ledger": value => `${Object.keys(value.claims).length} VMs claimed, last epoch ${value.lastEpoch}`,
    "zone-lease": value => (value.holder ? `held by ${value.holder}, fence ${value.fence}` : "released"),
    "group-status": value => `${value.phase} (${value.reason}), epoch ${value.epoch}, since ${value.since}`,
};

/** Returns a one-line summary of an object. */
export function summarizeObject(object: StoredObject): string {
    const kind = object.kind as ResourceKind;
    const parsed = resourceSchemas[kind].safeParse(object.value);
    if (!parsed.success) {
        return "not valid";
    }
    return (summaries[kind] as (value: unknown) => string)(parsed.data);
}
