import type { RequestKind } from "./RequestKind.js";

/** Routes the requests for one host and path prefix to services. */
export interface Route {
    name: string;
    host: string;
    pathPrefix: string;
    kind: RequestKind;
    /** Maximum time for which the operator lets a caller wait. */
    timeoutMs: number;
    /** Target time until the response, or until the first event of a stream. */
    targetLatencyMs: number;
    /** Target for the maximum time between two events of a stream. */
    targetGapMs: number;
    /** Priority of the route's requests; 0 is the highest. */
    priority: number;
    /** Services among which the route's requests are split by weight. */
    targets: readonly { service: string; weight: number; }[];
    /** Maximum number of upstreams to which one request may be sent. */
    maxAttempts: number;
    /** Requests need no API key. */
    isPublic: boolean;
    /** An interrupted stream may be resumed at another upstream after its last event. */
    isResumable: boolean;
}
