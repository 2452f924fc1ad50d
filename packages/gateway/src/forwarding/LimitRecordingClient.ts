import type { Upstream } from "../model/Upstream.js";
import type { AnnouncedLimits } from "../placement/AnnouncedLimits.js";
import type { UpstreamClient } from "../ports/UpstreamClient.js";
import type { UpstreamRequest } from "../ports/UpstreamRequest.js";
import type { UpstreamResponse } from "../ports/UpstreamResponse.js";

/** Records the limits that upstreams announce in their responses. */
export class LimitRecordingClient implements UpstreamClient {
    private constructor(private readonly client: UpstreamClient, private readonly limits: AnnouncedLimits) {}

    /** Creates a client that sends its requests through `client`. */
    static create(client: UpstreamClient, limits: AnnouncedLimits): LimitRecordingClient {
        return new LimitRecordingClient(client, limits);
    }

    /** Sends one request and records what its response announces. Never rejects. */
    async send(upstream: Upstream, request: UpstreamRequest, signal: AbortSignal): Promise<UpstreamResponse> {
        const response = await this.client.send(upstream, request, signal);
        if (response.kind === "answered" || (response.kind === "not-run" && response.reason === "overloaded")) {
            this.limits.recordResponse(upstream, response.limit);
        }
        return response;
    }
}
