import type { IncomingRequest } from "../model/IncomingRequest.js";
import type { Route } from "../model/Route.js";
import type { Service } from "../model/Service.js";
import type { CallerResponse } from "../ports/CallerResponse.js";

/** A request on its way through the gateway. */
export interface ForwardedCall {
    request: IncomingRequest;
    callerResponse: CallerResponse;
    route: Route;
    service: Service;
    account?: string;
    /** 0 goes first. */
    priority: number;
    /** When the caller's patience or the route's time ends, on the monotonic clock, ms. */
    deadlineMs: number;
    /** Aborts at the deadline. */
    deadline: AbortSignal;
    configurationVersion: number;
}
