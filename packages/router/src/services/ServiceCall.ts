import type { Caller } from "../admission/Caller.js";
import type { ServiceRequest } from "./ServiceRequest.js";

/** A plain service call that a caller or another router made. */
export interface ServiceCall {
    /** Name of the route. */
    route: string;
    service: string;
    /** Path of the URL at the endpoints. */
    path: string;
    caller: Caller;
    request: ServiceRequest;
    /** On the monotonic clock. */
    deadlineMs: number;
    /** A call from a `peer` is served in this router's zone or refused; it is never forwarded again. */
    origin: "caller" | "peer";
    /** Refuse the call at once when no slot is free. */
    onlyIfFree?: boolean;
}
