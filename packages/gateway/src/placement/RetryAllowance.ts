import type { Clock } from "@fescuehaven/runtime";

/** What a `RetryAllowance` is made of. */
interface RetryAllowanceOptions {
    clock: Clock;
    /** Retries allowed per request of the window. */
    ratio: number;
    /** Retries allowed beyond that, for all gateways together. */
    slack: number;
    windowMs: number;
    /** Gateways that share the slack. */
    gatewayCount: () => number;
}

/** Part of the allowance that is used: the window slides, and gateways count in windows of their own. */
const USED_PART = 0.8;

/** Keeps the sendings beyond each request's first under this process's part of a service's budget. */
export class RetryAllowance {
    private readonly requestsAtMs = new Map<string, number[]>();
    private readonly retriesAtMs = new Map<string, number[]>();

    private constructor(private readonly options: RetryAllowanceOptions) {}

    /** Creates an allowance without history. */
    static create(options: RetryAllowanceOptions): RetryAllowance {
        return new RetryAllowance(options);
    }

    /** Counts a caller's request for a service. */
    noteRequest(service: string): void {
        this.recent(this.requestsAtMs, service).push(this.options.clock.monotonicMs());
    }

    /** Takes one retry if the allowance has it. */
    tryTake(service: string): boolean {
        const { ratio, slack, gatewayCount } = this.options;
        const requests = this.recent(this.requestsAtMs, service).length;
        const retries = this.recent(this.retriesAtMs, service);
        const allowed = USED_PART * (ratio * requests + slack / Math.max(1, gatewayCount()));
        if (retries.length + 1 > allowed) {
            return false;
        }
        retries.push(this.options.clock.monotonicMs());
        return true;
    }

    private recent(history: Map<string, number[]>, service: string): number[] {
        const sinceMs = this.options.clock.monotonicMs() - this.options.windowMs;
        const times = history.get(service) ?? [];
        const firstKept = times.findIndex(atMs => atMs > sinceMs);
        times.splice(0, firstKept < 0 ? times.length : firstKept);
        history.set(service, times);
        return times;
    }
}
