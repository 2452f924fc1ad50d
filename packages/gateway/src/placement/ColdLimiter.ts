import type { Clock } from "@fescuehaven/runtime";

/** What a `ColdLimiter` is made of. */
interface ColdLimiterOptions {
    clock: Clock;
    /** Gateways that share an upstream's limit. */
    gatewayCount: () => number;
}

const WINDOW_MS = 1000;

/** Keeps requests to cold upstreams under this process's equal part of their limit, in any span of one second. */
export class ColdLimiter {
    private readonly sentAtMs = new Map<string, number[]>();

    private constructor(private readonly options: ColdLimiterOptions) {}

    /** Creates a limiter without history. */
    static create(options: ColdLimiterOptions): ColdLimiter {
        return new ColdLimiter(options);
    }

    /** True if the cold upstream may get a request now. */
    hasRoom(upstreamId: string, requestsPerSecond: number): boolean {
        const share = Math.max(1, Math.floor(requestsPerSecond / Math.max(1, this.options.gatewayCount())));
        return this.recent(upstreamId).length < share;
    }

    /** Counts a request that is sent to a cold upstream. */
    note(upstreamId: string): void {
        const recent = this.recent(upstreamId);
        recent.push(this.options.clock.monotonicMs());
        this.sentAtMs.set(upstreamId, recent);
    }

    private recent(upstreamId: string): number[] {
        const sinceMs = this.options.clock.monotonicMs() - WINDOW_MS;
        const recent = (this.sentAtMs.get(upstreamId) ?? []).filter(atMs => atMs > sinceMs);
        if (recent.length === 0) {
            this.sentAtMs.delete(upstreamId);
        }
        return recent;
    }
}
