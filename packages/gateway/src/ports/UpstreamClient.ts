import type { Upstream } from "../model/Upstream.js";
import type { UpstreamRequest } from "./UpstreamRequest.js";
import type { UpstreamResponse } from "./UpstreamResponse.js";

/** Sends requests to upstreams. */
export interface UpstreamClient {
    /** Sends one request; the answer's body follows as it arrives. Never rejects. */
    send(upstream: Upstream, request: UpstreamRequest, signal: AbortSignal): Promise<UpstreamResponse>;
}
