import type { Upstream } from "../model/Upstream.js";
import type { UpstreamRequest } from "./UpstreamRequest.js";
import type { UpstreamResponse } from "./UpstreamResponse.js";

/** Sends requests to upstreams. */
export interface UpstreamClient {
    /** Sends one request. The returned response streams its body as it arrives. Never rejects. */
    send(upstream: Upstream, request: UpstreamRequest, signal: AbortSignal): Promise<UpstreamResponse>;
}
