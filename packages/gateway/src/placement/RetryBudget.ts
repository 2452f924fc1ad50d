import type { Clock } from "@fescuehaven/runtime";
import { SlidingWindowCounter } from "../util/SlidingWindowCounter.js";
import type { RetryCounts } from "./RetryCounts.js";

interface RetryBudgetOptions {
    clock: Clock;
    /** Retries allowed per request within the window. */
    ratio: number;
    /** Additional retries allowed within the window, for all gateways together. */
    slack: number;
    windowMs: number;
    /** Number of gateways that share the slack; undefined while they are not known. */
    gatewayCount: () => number | undefined;
}

interface PeerCounts {
    counts: ReadonlyMap<string, RetryCounts>;
    /** Number of gateways whose counts are included. */
    countedGateways: number;
    receivedAtMs: number;
}

/** Fraction of the budget that is used: gateways learn of each other's retries with a delay. */
const USABLE_FRACTION = 0.72;
/** A peer's counts are valid for this long; without them, its gateways' share of the slack stays reserved for them. */
const PEER_COUNTS_TTL_MS = 1500;

/**
 * Limits retries to a budget per service that all gateways share. When a group is lost with all its streams, one
 * gateway may use what the other gateways have reported as unused.
 */
export class RetryBudget {
    private readonly requests = new Map<string, SlidingWindowCounter>();
    private readonly retries = new Map<string, SlidingWindowCounter>();
    private readonly peers = new Map<string, PeerCounts>();

    private constructor(private readonly options: RetryBudgetOptions) {}

    /** Creates a budget from which nothing has been used. */
    static create(options: RetryBudgetOptions): RetryBudget {
        return new RetryBudget(options);
    }

    /** Counts a caller's request for a service. */
    recordRequest(service: string): void {
        this.counterOf(this.requests, service).record();
    }

    /** Takes one retry from the budget; returns false if none is left. */
    tryAcquire(service: string): boolean {
        const { ratio, slack, clock } = this.options;
        const nowMs = clock.monotonicMs();
        const own = this.counterOf(this.retries, service);
        let requests = this.counterOf(this.requests, service).count;
        let retries = own.count;
        for (const { counts, receivedAtMs } of this.peers.values()) {
            if (nowMs - receivedAtMs <= PEER_COUNTS_TTL_MS) {
                requests += counts.get(service)?.requests ?? 0;
                retries += counts.get(service)?.retries ?? 0;
            }
        }
        const gatewayCount = this.options.gatewayCount() ?? Infinity;
        const availableSlack = slack * Math.min(1, this.countedGateways(() => true) / gatewayCount);
        if (retries + 1 > USABLE_FRACTION * (ratio * requests + availableSlack)) {
            return false;
        }
        own.record();
        return true;
    }

    /**
     * Returns the requests and retries within the window, of this gateway and the peers that `isIncluded` selects, by
     * service.
     */
    counts(isIncluded: (peer: string) => boolean): Array<readonly [string, RetryCounts]> {
        const nowMs = this.options.clock.monotonicMs();
        const known = [...this.peers].filter(([peer, { receivedAtMs }]) =>
            isIncluded(peer) && nowMs - receivedAtMs <= PEER_COUNTS_TTL_MS
        );
        const services = new Set([
            ...this.requests.keys(),
            ...known.flatMap(([, { counts }]) => [...counts.keys()]),
        ]);
        return [...services].map(service => {
            const total = {
                requests: this.counterOf(this.requests, service).count,
                retries: this.counterOf(this.retries, service).count,
            };
            for (const [, { counts }] of known) {
                total.requests += counts.get(service)?.requests ?? 0;
                total.retries += counts.get(service)?.retries ?? 0;
            }
            return [service, total] as const;
        });
    }

    /** Returns the number of gateways whose counts are known: this one and those counted by the selected peers. */
    countedGateways(isIncluded: (peer: string) => boolean): number {
        const nowMs = this.options.clock.monotonicMs();
        return [...this.peers]
            .filter(([peer, { receivedAtMs }]) => isIncluded(peer) && nowMs - receivedAtMs <= PEER_COUNTS_TTL_MS)
            .reduce((sum, [, { countedGateways }]) => sum + countedGateways, 1);
    }

    /** Subtracts a peer's share from the counts. */
    withoutPeer(counts: ReadonlyArray<readonly [string, RetryCounts]>, peer: string): Array<[string, RetryCounts]> {
        const known = this.peers.get(peer);
        const isKnown = known && this.options.clock.monotonicMs() - known.receivedAtMs <= PEER_COUNTS_TTL_MS;
        return counts.map(([service, total]) => {
            const part = isKnown ? known.counts.get(service) : undefined;
            return [service, {
                requests: Math.max(0, total.requests - (part?.requests ?? 0)),
                retries: Math.max(0, total.retries - (part?.retries ?? 0)),
            }];
        });
    }

    /** Removes the counts of a peer that is disconnected or whose counts arrive through another peer. */
    dropPeer(peer: string): void {
        this.peers.delete(peer);
    }

    /** Replaces the counts that a peer has reported for `countedGateways` gateways. */
    setPeerCounts(
        peer: string,
        counts: ReadonlyArray<readonly [string, RetryCounts]>,
        countedGateways = 1,
    ): void {
        const receivedAtMs = this.options.clock.monotonicMs();
        this.peers.set(peer, { counts: new Map(counts), countedGateways, receivedAtMs });
    }

    private counterOf(counters: Map<string, SlidingWindowCounter>, service: string): SlidingWindowCounter {
        const counter = counters.get(service) ?? SlidingWindowCounter.create(this.options.clock, this.options.windowMs);
        counters.set(service, counter);
        return counter;
    }
}
