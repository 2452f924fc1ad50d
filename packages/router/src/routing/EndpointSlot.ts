import type { UpstreamLease } from "../limits/UpstreamLease.js";

/** A slot at an endpoint of a plain service in this router's availability zone. */
export interface EndpointSlot {
    kind: "endpoint";
    endpoint: string;
    url: string;
    lease: UpstreamLease;
}
