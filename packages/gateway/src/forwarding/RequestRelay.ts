import type { Upstream } from "../model/Upstream.js";
import type { RequestedWaits } from "../placement/RequestedWaits.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { NotRunReason } from "../ports/NotRunReason.js";
import type { UpstreamClient } from "../ports/UpstreamClient.js";
import type { UpstreamRequest } from "../ports/UpstreamRequest.js";
import type { UpstreamResponse } from "../ports/UpstreamResponse.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";

interface RequestRelayOptions {
    log: DecisionLog;
    upstreams: UpstreamDirectory;
    waits: RequestedWaits;
    /** Sends requests to upstreams directly, so that no request is relayed twice. */
    client: UpstreamClient;
    /** Returns true while this gateway reaches no upstream of a service. */
    isPartitionedFrom: (service: string) => boolean;
}

/** Number of relayed requests at a time; a gateway has some hundred requests of its own. */
const MAX_RELAYED_REQUESTS = 400;

/** Sends requests of other gateways, which do not reach the upstreams, to the upstreams that those have chosen. */
export class RequestRelay {
    private active = 0;
    private isDraining = false;

    private constructor(private readonly options: RequestRelayOptions) {}

    /** Creates a relay. */
    static create(options: RequestRelayOptions): RequestRelay {
        return new RequestRelay(options);
    }

    /** Number of relayed requests in progress. */
    get requestsInProgress(): number {
        return this.active;
    }

    /** Refuses further requests, which would be cut off when the process ends. Other gateways can relay them. */
    drain(): void {
        this.isDraining = true;
    }

    /**
     * Sends a request to the upstream with an id, unless this gateway knows why the upstream must not get it. Never rejects.
     */
    async send(upstreamId: string, call: UpstreamRequest, signal: AbortSignal): Promise<UpstreamResponse> {
        const upstream = this.options.upstreams.get(upstreamId);
        const reason = this.refusalReason(upstream);
        if (!upstream || reason) {
            this.options.log.info("relayed request refused", {
                request: call.request.id,
                upstream: upstreamId,
                reason,
            });
            return { kind: "not-run", reason: reason ?? "other-instance" };
        }
        this.active += 1;
        const response = await this.options.client.send(upstream, call, signal);
        if (response.kind !== "answered") {
            this.active -= 1;
            return response;
        }
        return { ...response, body: this.count(response.body) };
    }

    private refusalReason(upstream: Upstream | undefined): NotRunReason | undefined {
        const { waits, isPartitionedFrom } = this.options;
        if (!upstream || upstream.state !== "ready") {
            return "other-instance";
        }
        if (this.isDraining || isPartitionedFrom(upstream.service)) {
            return "not-connected";
        }
        return waits.waitMs(upstream) > 0 || this.active >= MAX_RELAYED_REQUESTS ? "overloaded" : undefined;
    }

    private async *count(body: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
        try {
            yield* body;
        }
        finally {
            this.active -= 1;
        }
    }
}
