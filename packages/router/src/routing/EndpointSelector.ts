import type { ConfigurationView } from "@fescuehaven/coordination";
import type { Service } from "@fescuehaven/resources";
import type { Random } from "@fescuehaven/runtime";
import type { Upstream } from "../limits/Upstream.js";
import type { UpstreamLimits } from "../limits/UpstreamLimits.js";
import type { EndpointSlot } from "./EndpointSlot.js";
import type { MaintenanceState } from "./MaintenanceState.js";

type Endpoint = Service["endpoints"][number];

interface EndpointSelectorOptions {
    configuration: ConfigurationView;
    maintenance: MaintenanceState;
    limits: UpstreamLimits;
    random: Random;
    zone: string;
}

/** Chooses the least loaded endpoint of a plain service in this router's availability zone. */
export class EndpointSelector {
    private constructor(private readonly options: EndpointSelectorOptions) {}

    /** Creates a selector. */
    static create(options: EndpointSelectorOptions): EndpointSelector {
        return new EndpointSelector(options);
    }

    /** Returns true while the endpoint is configured and may receive calls. Call it right before each dispatch. */
    isOpen(service: string, slot: EndpointSlot): boolean {
        return this.listOpen(service).some(endpoint => endpoint.name === slot.endpoint && endpoint.url === slot.url);
    }

    /** Returns true when an endpoint of this zone may receive calls, whether or not it has a free slot. */
    hasOpen(service: string): boolean {
        return this.listOpen(service).length > 0;
    }

    /** Returns true when this router's share of an open endpoint's limit allows calls, whether or not a slot is free. */
    hasShare(service: string): boolean {
        return this.listOpen(service).some(endpoint => this.options.limits.allowed(toUpstream(service, endpoint)) > 0);
    }

    /** Acquires a slot; uses endpoints in `excluded` only when there are no others. Undefined when none is free. */
    tryAcquire(service: string, excluded: ReadonlySet<string>): EndpointSlot | undefined {
        const open = this.listOpen(service);
        const others = open.filter(endpoint => !excluded.has(endpoint.name));
        const ranked = (others.length > 0 ? others : open)
            .map(endpoint => ({ endpoint, load: this.load(service, endpoint), tie: this.options.random.next() }))
            .sort((a, b) => a.load - b.load || a.tie - b.tie);
        for (const { endpoint } of ranked) {
            const lease = this.options.limits.tryAcquire(toUpstream(service, endpoint));
            if (lease) {
                return { kind: "endpoint", endpoint: endpoint.name, url: endpoint.url, lease };
            }
        }
        return undefined;
    }

    /** Returns the other availability zones in which the service has endpoints. */
    otherZones(service: string): ReadonlySet<string> {
        const endpoints = this.options.configuration.get("service", service)?.value.endpoints ?? [];
        return new Set(endpoints.map(endpoint => endpoint.zone).filter(zone => zone !== this.options.zone));
    }

    private listOpen(service: string): Endpoint[] {
        if (this.options.maintenance.isZoneOutOfService(this.options.zone)) {
            return [];
        }
        const endpoints = this.options.configuration.get("service", service)?.value.endpoints ?? [];
        return endpoints.filter(endpoint => endpoint.zone === this.options.zone);
    }

    private load(service: string, endpoint: Endpoint): number {
        const upstream = toUpstream(service, endpoint);
        return this.options.limits.inFlight(upstream.name) / Math.max(1, this.options.limits.allowed(upstream));
    }
}

function toUpstream(service: string, endpoint: Endpoint): Upstream {
    return {
        name: `${service}/${endpoint.name}`,
        identity: endpoint.url,
        warmLimit: endpoint.maxConcurrentRequests,
        coldLimit: Math.min(endpoint.coldConcurrentRequests, endpoint.maxConcurrentRequests),
    };
}
