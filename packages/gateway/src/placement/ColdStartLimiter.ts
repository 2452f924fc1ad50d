import { equalShare, hash32 } from "@fescuehaven/coordination";
import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import { SlidingWindowCounter } from "../util/SlidingWindowCounter.js";
import type { GatewayPosition } from "./GatewayPosition.js";

interface ColdStartLimiterOptions {
    clock: Clock;
    /** Position among the gateways that share an upstream's limit; undefined while they are not known. */
    position: () => GatewayPosition | undefined;
}

const WINDOW_MS = 1000;

/**
 * Keeps requests to each cold upstream within this process's share of its limit, in any period of one second. The
 * shares of all gateways add up to the limit: with more gateways than requests per second, some have none.
 */
export class ColdStartLimiter {
    private readonly sent = new Map<string, SlidingWindowCounter>();

    private constructor(private readonly options: ColdStartLimiterOptions) {}

    /** Creates a limiter that has counted no requests. */
    static create(options: ColdStartLimiterOptions): ColdStartLimiter {
        return new ColdStartLimiter(options);
    }

    /** Returns true if a request may be sent to the upstream now. A limit of 0 requests per second means no limit. */
    canSend(upstream: Upstream, requestsPerSecond: number): boolean {
        return this.waitMs(upstream, requestsPerSecond) <= 0;
    }

    /** Returns the time until a request may be sent to the upstream; 0 if it may be sent now. */
    waitMs(upstream: Upstream, requestsPerSecond: number): number {
        const coldMs = this.coldMs(upstream);
        if (coldMs <= 0 || requestsPerSecond === 0) {
            return 0;
        }
        const share = this.share(upstream, requestsPerSecond);
        return share === 0 ? coldMs : Math.min(coldMs, this.sent.get(upstream.id)?.msUntilBelow(share) ?? 0);
    }

    /** Counts a request that is sent to the upstream, if it is cold. */
    record(upstream: Upstream): void {
        if (this.coldMs(upstream) <= 0) {
            return;
        }
        const sent = this.sent.get(upstream.id) ?? this.addCounter(upstream.id);
        sent.record();
    }

    private addCounter(upstreamId: string): SlidingWindowCounter {
        this.sent.forEach((counter, id) => counter.count === 0 && this.sent.delete(id));
        const counter = SlidingWindowCounter.create(this.options.clock, WINDOW_MS);
        this.sent.set(upstreamId, counter);
        return counter;
    }

    /** Returns log fields for a request to an upstream: the remaining cold time and this gateway's share, if cold. */
    logFields(upstream: Upstream, requestsPerSecond: number): { coldMs?: number; coldShare?: number; } {
        const coldMs = this.coldMs(upstream);
        return coldMs > 0
            ? { coldMs: Math.round(coldMs), coldShare: this.share(upstream, requestsPerSecond) }
            : {};
    }

    private coldMs({ coldUntilMs }: Upstream): number {
        return coldUntilMs - this.options.clock.monotonicMs();
    }

    private share(upstream: Upstream, requestsPerSecond: number): number {
        const position = this.options.position();
        return position
            ? equalShare(Math.floor(requestsPerSecond), position.count, position.index + hash32(upstream.id))
            : 0;
    }
}
