import type { IncomingRequest } from "../model/IncomingRequest.js";

/** One sending of a request to an upstream. */
export interface UpstreamRequest {
    request: IncomingRequest;
    /** Time that is left for the request, ms. */
    remainingMs: number;
    account?: string;
    /** Go on after this event of the stream. */
    resumeAfter?: string;
}
