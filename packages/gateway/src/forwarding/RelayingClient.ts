import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { GatewayMetrics } from "../ports/GatewayMetrics.js";
import type { UpstreamClient } from "../ports/UpstreamClient.js";
import type { UpstreamRequest } from "../ports/UpstreamRequest.js";
import type { UpstreamResponse } from "../ports/UpstreamResponse.js";

interface RelayingClientOptions {
    log: DecisionLog;
    metrics: GatewayMetrics;
    /** Sends requests to upstreams, and records which of them respond. */
    direct: UpstreamClient;
    /** Sends requests to relays, which speak the protocol of upstreams. */
    toRelay: UpstreamClient;
    /** Returns true while this gateway reaches no upstream of a service. */
    isPartitionedFrom: (service: string) => boolean;
    /** Returns true also while it is being found out whether there is a partition. */
    isSuspectedFor: (service: string) => boolean;
    /** Returns addresses of gateways that reach upstreams of a service. */
    relaysFor: (service: string) => string[];
}

/**
 * Sends requests to upstreams, through another gateway while this one reaches no upstream of the service. The other
 * gateway only passes bytes on: placement, limits, retries and deadlines stay with this one.
 */
export class RelayingClient implements UpstreamClient {
    private constructor(private readonly options: RelayingClientOptions) {}

    /** Creates a client. */
    static create(options: RelayingClientOptions): RelayingClient {
        return new RelayingClient(options);
    }

    /** Sends one request. A request that may have reached a relay is not sent to another one. Never rejects. */
    async send(upstream: Upstream, request: UpstreamRequest, signal: AbortSignal): Promise<UpstreamResponse> {
        const { direct, isPartitionedFrom, isSuspectedFor } = this.options;
        if (!isPartitionedFrom(upstream.service)) {
            const response = await direct.send(upstream, request, signal);
            if (!isNotConnected(response) || !isSuspectedFor(upstream.service)) {
                return response;
            }
        }
        return this.sendThroughRelay(upstream, request, signal);
    }

    private async sendThroughRelay(
        upstream: Upstream,
        call: UpstreamRequest,
        signal: AbortSignal,
    ): Promise<UpstreamResponse> {
        const { log, metrics, toRelay, relaysFor } = this.options;
        for (const relay of relaysFor(upstream.service)) {
            const response = await toRelay.send({ ...upstream, address: relay }, call, signal);
            metrics.count("relayed", response.kind);
            log.info("request sent through a relay", {
                request: call.request.id,
                upstream: upstream.id,
                relay,
                outcome: response.kind,
                reason: "reason" in response ? response.reason : undefined,
            });
            if (!isNotConnected(response)) {
                return response;
            }
        }
        return { kind: "not-run", reason: "not-connected" };
    }
}

function isNotConnected(response: UpstreamResponse): boolean {
    return response.kind === "not-run" && response.reason === "not-connected";
}
