import type { IncomingRequest } from "../model/IncomingRequest.js";
import type { Route } from "../model/Route.js";
import type { Service } from "../model/Service.js";
import type { CrashSubjects } from "../placement/CrashSubjects.js";
import type { CallerResponse } from "../ports/CallerResponse.js";

/** A caller's request with its route, service and deadline. */
export interface ForwardedCall {
    request: IncomingRequest;
    callerResponse: CallerResponse;
    route: Route;
    service: Service;
    account?: string;
    crashSubjects: CrashSubjects;
    /** 0 is the most urgent. */
    priority: number;
    /** Order of urgency by the account's priority, then by the route's; lower ranks are more urgent. */
    rank: number;
    /** When the shorter of the caller's and the route's timeout expires, on the monotonic clock. */
    deadlineMs: number;
    /** Aborts at the deadline, or earlier when the gateway's shutdown ends. */
    deadline: AbortSignal;
    configurationVersion: number;
    /** The request is blocked; it is sent to find out whether upstreams still crash under it. */
    isTrial: boolean;
}
