import type { Service } from "../model/Service.js";
import type { Upstream } from "../model/Upstream.js";
import type { AnnouncedRateLimiter } from "./AnnouncedRateLimiter.js";
import type { ColdStartLimiter } from "./ColdStartLimiter.js";

interface UpstreamLimiterOptions {
    coldStart: ColdStartLimiter;
    announced: AnnouncedRateLimiter;
}

/** Keeps requests to an upstream within this process's shares of the limits that all gateways share. */
export class UpstreamLimiter {
    private constructor(private readonly options: UpstreamLimiterOptions) {}

    /** Creates a limiter that applies both limits. */
    static create(options: UpstreamLimiterOptions): UpstreamLimiter {
        return new UpstreamLimiter(options);
    }

    /** Returns true if a request may be sent to the upstream now. */
    canSend(upstream: Upstream, service: Service): boolean {
        return this.waitMs(upstream, service) <= 0;
    }

    /** Returns the time until a request may be sent to the upstream; 0 if it may be sent now. */
    waitMs(upstream: Upstream, service: Service): number {
        const { coldStart, announced } = this.options;
        return Math.max(coldStart.waitMs(upstream, service.coldRequestsPerSecond), announced.waitMs(upstream));
    }

    /** Counts a request that is sent to the upstream. */
    record(upstream: Upstream): void {
        this.options.coldStart.record(upstream);
        this.options.announced.record(upstream);
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
