import type { ServiceRequest } from "./ServiceRequest.js";

/** A plain service call handed to a router of another availability zone. */
export interface ForwardedServiceCall {
    clientAccount: string;
    /** Name of the route, which names the service and the path. */
    route: string;
    request: ServiceRequest;
    /** Time left until the caller's deadline. */
    remainingMs: number;
    /** Refuse at once when no slot is free. */
    onlyIfFree: boolean;
}
