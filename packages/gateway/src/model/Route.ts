import type { RequestKind } from "./RequestKind.js";

/** Sends the requests of one host and path prefix to a service. */
export interface Route {
    name: string;
    host: string;
    pathPrefix: string;
    kind: RequestKind;
    /** Longest time for which the operator lets a caller wait, ms. */
    timeoutMs: number;
    /** Time within which an answer (of a stream: its first event) is on time, ms. */
    targetLatencyMs: number;
    /** Longest pause between two events of a stream that is on time, ms. */
    targetGapMs: number;
    /** Rank of the route's requests; 0 goes first. */
    priority: number;
    /** Services that share the route's requests, by weight. */
    targets: readonly { service: string; weight: number; }[];
    /** Largest number of upstreams to which one request may be sent. */
    maxAttempts: number;
    /** Needs no API key. */
    isPublic: boolean;
    /** A stream may go on at another upstream after its last event. */
    isResumable: boolean;
}
