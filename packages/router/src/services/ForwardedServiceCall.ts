import type { ServiceRequest } from "./ServiceRequest.js";

/** A plain service call that is forwarded to a peer router. */
export interface ForwardedServiceCall {
    clientAccount: string;
    /** Name of the route, by which the peer finds the service and the path. */
    route: string;
    request: ServiceRequest;
    /** Time left until the caller's deadline. */
    remainingMs: number;
    /** The peer refuses the call at once when it has no free slot. */
    onlyIfFree: boolean;
}
