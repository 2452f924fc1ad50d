import { equalShare, hash32 } from "@fescuehaven/coordination";
import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { AnnouncedLimits } from "./AnnouncedLimits.js";
import type { GatewayPosition } from "./GatewayPosition.js";

interface AnnouncedRateLimiterOptions {
    clock: Clock;
    limits: AnnouncedLimits;
    /** Position among the gateways that share an upstream's limit; undefined while they are not known. */
    position: () => GatewayPosition | undefined;
}

/** This gateway's part of an upstream's limit. */
interface Share {
    requestsPerSecond: number;
    /** Number of requests that may be sent at once after a pause. */
    burst: number;
}

/** Requests that may be sent to an instance of an upstream now, as of the last one that was sent. */
interface TokenBucket {
    /** Instance to which the requests are sent, Unix time. */
    startedAtMs: number;
    tokens: number;
    /** On the monotonic clock. */
    atMs: number;
}

/** Sum of the gateways' bursts: what the limit allows within this time, and some requests so that small limits can be shared. */
const BURST_S = 1;
const SHARED_BURST_REQUESTS = 4;
/** An upstream that takes fewer requests, or none, gets one now and then whose response tells whether the limit holds. */
const MIN_REQUESTS_PER_SECOND = 0.05;
/** Tokens are fractions: this many are missing at most where one is complete but for rounding. */
const ROUNDING_TOKENS = 1e-9;

/**
 * Keeps requests to each upstream within this process's share of the limit that the upstream announces, with a token
 * bucket. The shares of all gateways add up to the limit: with more gateways than the shared burst, some have none.
 */
export class AnnouncedRateLimiter {
    private readonly buckets = new Map<string, TokenBucket>();

    private constructor(private readonly options: AnnouncedRateLimiterOptions) {}

    /** Creates a limiter with full buckets. */
    static create(options: AnnouncedRateLimiterOptions): AnnouncedRateLimiter {
        return new AnnouncedRateLimiter(options);
    }

    /** Number of buckets that are not full, or were not when they were last used. */
    get bucketCount(): number {
        return this.buckets.size;
    }

    /** Returns the time until a request may be sent to the upstream; 0 if it may be sent now, Infinity without a share. */
    waitMs(upstream: Upstream): number {
        const limit = this.options.limits.requestsPerSecond(upstream);
        if (limit === Infinity) {
            return 0;
        }
        const share = this.share(upstream, limit);
        if (!share) {
            return Infinity;
        }
        const missingTokens = 1 - this.tokens(upstream, share);
        return missingTokens <= ROUNDING_TOKENS ? 0 : missingTokens / share.requestsPerSecond * 1000;
    }

    /** Counts a request that is sent to the upstream, if it announces a limit. */
    record(upstream: Upstream): void {
        const { clock, limits } = this.options;
        const limit = limits.requestsPerSecond(upstream);
        const share = limit === Infinity ? undefined : this.share(upstream, limit);
        if (!share) {
            return;
        }
        if (!this.buckets.has(upstream.id)) {
            this.buckets.forEach((_, id) => !limits.has(id) && this.buckets.delete(id));
        }
        this.buckets.set(upstream.id, {
            startedAtMs: upstream.startedAtMs,
            tokens: this.tokens(upstream, share) - 1,
            atMs: clock.monotonicMs(),
        });
    }

    /** Returns log fields for a request to an upstream: its limit and this gateway's share, if it announces one. */
    logFields(upstream: Upstream): { announcedLimit?: number; announcedShare?: number; } {
        const limit = this.options.limits.requestsPerSecond(upstream);
        return limit === Infinity
            ? {}
            : { announcedLimit: limit, announcedShare: this.share(upstream, limit)?.requestsPerSecond ?? 0 };
    }

    private tokens(upstream: Upstream, { requestsPerSecond, burst }: Share): number {
        const bucket = this.buckets.get(upstream.id);
        if (bucket?.startedAtMs !== upstream.startedAtMs) {
            return burst;
        }
        const elapsedS = (this.options.clock.monotonicMs() - bucket.atMs) / 1000;
        return Math.min(burst, bucket.tokens + elapsedS * requestsPerSecond);
    }

    private share(upstream: Upstream, limit: number): Share | undefined {
        const position = this.options.position();
        if (!position) {
            return undefined;
        }
        const totalBurst = Math.floor(limit * BURST_S) + SHARED_BURST_REQUESTS;
        const burst = equalShare(totalBurst, position.count, position.index + hash32(upstream.id));
        return burst === 0
            ? undefined
            : { requestsPerSecond: Math.max(limit, MIN_REQUESTS_PER_SECOND) * burst / totalBurst, burst };
    }
}
