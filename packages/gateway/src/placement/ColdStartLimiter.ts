import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import { SlidingWindowCounter } from "../util/SlidingWindowCounter.js";

interface ColdStartLimiterOptions {
    clock: Clock;
    /** Number of gateways that share an upstream's limit. */
    gatewayCount: () => number;
}

const WINDOW_MS = 1000;

/** Keeps requests to each cold upstream within this process's equal share of its limit, in any period of one second. */
export class ColdStartLimiter {
    private readonly sent = new Map<string, SlidingWindowCounter>();

    private constructor(private readonly options: ColdStartLimiterOptions) {}

    /** Creates a limiter that has counted no requests. */
    static create(options: ColdStartLimiterOptions): ColdStartLimiter {
        return new ColdStartLimiter(options);
    }

    /** Returns true if a request may be sent to the cold upstream now. */
    canSend(upstreamId: string, requestsPerSecond: number): boolean {
        const sent = this.sent.get(upstreamId)?.count ?? 0;
        if (sent === 0) {
            this.sent.delete(upstreamId);
        }
        return sent < this.share(requestsPerSecond);
    }

    /** Returns log fields for a request to an upstream: the remaining cold time and this gateway's share, if cold. */
    logFields(upstream: Upstream, requestsPerSecond: number): { coldMs?: number; coldShare?: number; } {
        const coldMs = upstream.coldUntilMs - this.options.clock.monotonicMs();
        return coldMs > 0 ? { coldMs: Math.round(coldMs), coldShare: this.share(requestsPerSecond) } : {};
    }

    /** Returns the number of requests per second that this gateway may send to a cold upstream with this limit. */
    private share(requestsPerSecond: number): number {
        return Math.max(1, Math.floor(requestsPerSecond / Math.max(1, this.options.gatewayCount())));
    }

    /** Counts a request that is sent to a cold upstream. */
    record(upstreamId: string): void {
        const sent = this.sent.get(upstreamId) ?? SlidingWindowCounter.create(this.options.clock, WINDOW_MS);
        sent.record();
        this.sent.set(upstreamId, sent);
    }
}
