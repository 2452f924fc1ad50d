import type { Caller } from "../admission/Caller.js";
import type { ServiceRequest } from "./ServiceRequest.js";

/** A plain service call that a caller or another router made. */
export interface ServiceCall {
    /** Name of the route. */
    route: string;
    service: string;
    /** Path at the endpoints. */
    path: string;
    caller: Caller;
    request: ServiceRequest;
    /** On the monotonic clock. */
    deadlineMs: number;
    /** `peer`: forwarded by another router; it is served here or refused, never forwarded again. */
    origin: "caller" | "peer";
    /** Refuse at once when no slot is free. */
    onlyIfFree?: boolean;
}
