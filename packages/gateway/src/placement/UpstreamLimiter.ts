import type { Service } from "../model/Service.js";
import type { Upstream } from "../model/Upstream.js";
import type { AnnouncedRateLimiter } from "./AnnouncedRateLimiter.js";
import type { ColdStartLimiter } from "./ColdStartLimiter.js";
import type { RequestedWaits } from "./RequestedWaits.js";

interface UpstreamLimiterOptions {
    coldStart: ColdStartLimiter;
    announced: AnnouncedRateLimiter;
    waits: RequestedWaits;
}

/**
 * Keeps requests to an upstream within this process's shares of the limits that all gateways share, and outside of the
 * waits that the upstream has asked for.
 */
export class UpstreamLimiter {
    private constructor(private readonly options: UpstreamLimiterOptions) {}

    /** Creates a limiter that applies both limits and the waits. */
    static create(options: UpstreamLimiterOptions): UpstreamLimiter {
        return new UpstreamLimiter(options);
    }

    /** Returns true if a request may be sent to the upstream now. */
    canSend(upstream: Upstream, service: Service): boolean {
        return this.waitMs(upstream, service) <= 0;
    }

    /** Returns the time until a request may be sent to the upstream; 0 if it may be sent now. */
    waitMs(upstream: Upstream, service: Service): number {
        const { coldStart, announced, waits } = this.options;
        return Math.max(
            coldStart.waitMs(upstream, service.coldRequestsPerSecond),
            announced.waitMs(upstream),
            waits.waitMs(upstream),
        );
    }

    /** Counts a request that is sent to the upstream. */
    record(upstream: Upstream): void {
        this.options.coldStart.record(upstream);
        this.options.announced.record(upstream);
        this.options.waits.recordAttempt(upstream);
    }

    /** Returns log fields for a request to an upstream: the limits in force and this gateway's shares. */
    logFields(upstream: Upstream, service: Service): Readonly<Record<string, unknown>> {
        const { coldStart, announced } = this.options;
        return {
            ...coldStart.logFields(upstream, service.coldRequestsPerSecond),
            ...announced.logFields(upstream),
        };
    }
}
