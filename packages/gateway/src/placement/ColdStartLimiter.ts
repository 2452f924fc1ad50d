import type { Clock } from "@fescuehaven/runtime";
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
        const share = Math.max(1, Math.floor(requestsPerSecond / Math.max(1, this.options.gatewayCount())));
        const sent = this.sent.get(upstreamId)?.count ?? 0;
        if (sent === 0) {
            this.sent.delete(upstreamId);
        }
        return sent < share;
    }

    /** Counts a request that is sent to a cold upstream. */
    record(upstreamId: string): void {
        const sent = this.sent.get(upstreamId) ?? SlidingWindowCounter.create(this.options.clock, WINDOW_MS);
        sent.record();
        this.sent.set(upstreamId, sent);
    }
}
