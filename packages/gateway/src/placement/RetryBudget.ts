import type { Clock } from "@fescuehaven/runtime";
import { SlidingWindowCounter } from "../util/SlidingWindowCounter.js";
import type { RetryCounts } from "./RetryCounts.js";

/** What a `RetryBudget` is made of. */
interface RetryBudgetOptions {
    clock: Clock;
    /** Retries allowed per request of the window. */
    ratio: number;
    /** Retries allowed beyond that, for all gateways together. */
    slack: number;
    windowMs: number;
    /** Gateways that share the slack. */
    gatewayCount: () => number;
    /** Gateways whose counts arrive through hubs, this one included; left out: each peer speaks for itself. */
    knownGateways?: () => number | undefined;
}

interface PeerUse {
    counts: ReadonlyMap<string, RetryCounts>;
    receivedMs: number;
}

/** Part of the budget that is used: gateways hear of each other's retries a little late. */
const USED_PART = 0.72;
/** A peer's counts are known for this long, ms; without them only its requests' part is left to it. */
const PEER_COUNTS_TTL_MS = 1500;

/**
 * Keeps the sendings beyond each request's first under a service's budget, which all gateways share. Made for groups
 * that break with all their streams: one gateway may then use what the others, as they say, have left.
 */
export class RetryBudget {
    private readonly requests = new Map<string, SlidingWindowCounter>();
    private readonly retries = new Map<string, SlidingWindowCounter>();
    private readonly peers = new Map<string, PeerUse>();

    private constructor(private readonly options: RetryBudgetOptions) {}

    /** Creates a budget without history. */
    static create(options: RetryBudgetOptions): RetryBudget {
        return new RetryBudget(options);
    }

    /** Counts a caller's request for a service. */
    recordRequest(service: string): void {
        this.recent(this.requests, service).record();
    }

    /** Takes one retry if the budget has it. */
    tryAcquire(service: string): boolean {
        const { ratio, slack, gatewayCount, clock } = this.options;
        const nowMs = clock.monotonicMs();
        const own = this.recent(this.retries, service);
        let requests = this.recent(this.requests, service).count;
        let retries = own.count;
        const throughHubs = this.options.knownGateways?.();
        let known = throughHubs ?? 1;
        for (const { counts, receivedMs } of this.peers.values()) {
            if (nowMs - receivedMs <= PEER_COUNTS_TTL_MS) {
                known += throughHubs === undefined ? 1 : 0;
                requests += counts.get(service)?.requests ?? 0;
                retries += counts.get(service)?.retries ?? 0;
            }
        }
        const sharedSlack = slack * Math.min(1, known / Math.max(1, gatewayCount()));
        if (retries + 1 > USED_PART * (ratio * requests + sharedSlack)) {
            return false;
        }
        own.record();
        return true;
    }

    /** What this gateway and the peers that `isIncluded` names have counted in the window. */
    counts(isIncluded: (peer: string) => boolean): Array<readonly [string, RetryCounts]> {
        const nowMs = this.options.clock.monotonicMs();
        const known = [...this.peers].filter(([peer, { receivedMs }]) =>
            isIncluded(peer) && nowMs - receivedMs <= PEER_COUNTS_TTL_MS
        );
        const services = new Set([
            ...this.requests.keys(),
            ...known.flatMap(([, { counts }]) => [...counts.keys()]),
        ]);
        return [...services].map(service => {
            const total = {
                requests: this.recent(this.requests, service).count,
                retries: this.recent(this.retries, service).count,
            };
            for (const [, { counts }] of known) {
                total.requests += counts.get(service)?.requests ?? 0;
                total.retries += counts.get(service)?.retries ?? 0;
            }
            return [service, total] as const;
        });
    }

    /** The same counts without a peer's part. */
    withoutPeer(counts: ReadonlyArray<readonly [string, RetryCounts]>, peer: string): Array<[string, RetryCounts]> {
        const known = this.peers.get(peer);
        const isKnown = known && this.options.clock.monotonicMs() - known.receivedMs <= PEER_COUNTS_TTL_MS;
        return counts.map(([service, total]) => {
            const part = isKnown ? known.counts.get(service) : undefined;
            return [service, {
                requests: Math.max(0, total.requests - (part?.requests ?? 0)),
                retries: Math.max(0, total.retries - (part?.retries ?? 0)),
            }];
        });
    }

    /** Forgets a peer that is gone, or whose counts come through another one. */
    dropPeer(peer: string): void {
        this.peers.delete(peer);
    }

    /** Takes what a peer has counted. */
    setPeerCounts(peer: string, counts: ReadonlyArray<readonly [string, RetryCounts]>): void {
        this.peers.set(peer, { counts: new Map(counts), receivedMs: this.options.clock.monotonicMs() });
    }

    private recent(history: Map<string, SlidingWindowCounter>, service: string): SlidingWindowCounter {
        const times = history.get(service) ?? SlidingWindowCounter.create(this.options.clock, this.options.windowMs);
        history.set(service, times);
        return times;
    }
}
