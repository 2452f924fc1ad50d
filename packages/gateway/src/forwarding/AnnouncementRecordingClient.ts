import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { AnnouncedLimits } from "../placement/AnnouncedLimits.js";
import type { UpstreamClient } from "../ports/UpstreamClient.js";
import type { UpstreamRequest } from "../ports/UpstreamRequest.js";
import type { UpstreamResponse } from "../ports/UpstreamResponse.js";

interface LimitRecordingClientOptions {
    clock: Clock;
    client: UpstreamClient;
    limits: AnnouncedLimits;
}

/** Records the limits that upstreams announce in their responses. */
export class LimitRecordingClient implements UpstreamClient {
    private constructor(private readonly options: LimitRecordingClientOptions) {}

    /** Creates a client that sends its requests through another one. */
    static create(options: LimitRecordingClientOptions): LimitRecordingClient {
        return new LimitRecordingClient(options);
    }

    /** Sends one request and records what its response announces. Never rejects. */
    async send(upstream: Upstream, request: UpstreamRequest, signal: AbortSignal): Promise<UpstreamResponse> {
        const { clock, client, limits } = this.options;
        const sentAtMs = clock.monotonicMs();
        const response = await client.send(upstream, request, signal);
        const isRejected = response.kind === "not-run" && response.reason === "overloaded";
        // A rejection that names no limit does not withdraw one.
        if (response.kind === "answered" || (isRejected && response.limit)) {
            limits.recordResponse(upstream, response.limit, sentAtMs);
        }
        return response;
    }
}
