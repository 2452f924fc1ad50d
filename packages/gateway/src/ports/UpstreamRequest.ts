import type { IncomingRequest } from "../model/IncomingRequest.js";

/** One attempt to send a request to an upstream. */
export interface UpstreamRequest {
    request: IncomingRequest;
    /** Time left until the request's deadline. */
    remainingMs: number;
    account?: string;
    /** Id of the event after which the upstream must resume the stream. */
    resumeAfter?: string;
    /** Priority among the requests that wait at the engine, 0 first; absent where all have the same rank. */
    enginePriority?: number;
}
