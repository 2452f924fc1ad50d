import type { Clock } from "@fescuehaven/runtime";
import { RecentTimes } from "../util/RecentTimes.js";

/** What a `ColdLimiter` is made of. */
interface ColdLimiterOptions {
    clock: Clock;
    /** Gateways that share an upstream's limit. */
    gatewayCount: () => number;
}

const WINDOW_MS = 1000;

/** Keeps requests to cold upstreams under this process's equal part of their limit, in any span of one second. */
export class ColdLimiter {
    private readonly sent = new Map<string, RecentTimes>();

    private constructor(private readonly options: ColdLimiterOptions) {}

    /** Creates a limiter without history. */
    static create(options: ColdLimiterOptions): ColdLimiter {
        return new ColdLimiter(options);
    }

    /** True if the cold upstream may get a request now. */
    hasRoom(upstreamId: string, requestsPerSecond: number): boolean {
        const share = Math.max(1, Math.floor(requestsPerSecond / Math.max(1, this.options.gatewayCount())));
        const sent = this.sent.get(upstreamId)?.count ?? 0;
        if (sent === 0) {
            this.sent.delete(upstreamId);
        }
        return sent < share;
    }

    /** Counts a request that is sent to a cold upstream. */
    note(upstreamId: string): void {
        const sent = this.sent.get(upstreamId) ?? RecentTimes.create(this.options.clock, WINDOW_MS);
        sent.note();
        this.sent.set(upstreamId, sent);
    }
}
