import type { Clock } from "@fescuehaven/runtime";
import { AccountGate } from "./AccountGate.js";
import type { PlacementOutcome } from "./PlacementOutcome.js";
import type { PlacementRequest } from "./PlacementRequest.js";
import { WaitingPool } from "./WaitingPool.js";

interface PlacementQueueOptions {
    clock: Clock;
    maxCalls: number;
    maxBytes: number;
}

/** Places are looked for this often, for changes that nobody tells the queue of. */
const POLL_MS = 20;
/** Each waiting call is checked this often for whether waiting still makes sense. */
const HOPE_CHECK_MS = 200;
/** Advice for when to come back while nothing can serve the call. */
const NO_UPSTREAM_RETRY_AFTER_MS = 1000;
/** Shortest advice for when to come back. */
const MIN_RETRY_AFTER_MS = 250;

/**
 * Where calls wait for a place at an upstream: bounded, fair over client accounts, and with a final answer at once for a
 * call that cannot be served in time.
 */
export class PlacementQueue {
    private readonly pools = new Map<string, WaitingPool>();
    private readonly gate = AccountGate.create();
    private waitingCalls = 0;
    private waitingBytes = 0;

    private constructor(private readonly options: PlacementQueueOptions) {}

    /** Creates an empty queue. */
    static create(options: PlacementQueueOptions): PlacementQueue {
        return new PlacementQueue(options);
    }

    /** Calls waiting now. */
    get size(): number {
        return this.waitingCalls;
    }

    /** Waits for a place. One that was placed and counts for its account must be given to `leave` when it ends. */
    async acquire<P>(request: PlacementRequest<P>, signal: AbortSignal): Promise<PlacementOutcome<P>> {
        if (signal.aborted) {
            return { kind: "aborted" };
        }
        const pool = this.pool(request.pool);
        const atOnce = this.placeAtOnce(pool, request);
        if (atOnce !== undefined) {
            return { kind: "placed", place: atOnce };
        }
        const refused = this.refuseIfFull(pool, request);
        return refused ?? this.wait(pool, request, signal);
    }

    /** Counts a call out that was placed. */
    leave(account: string): void {
        this.gate.leave(account);
        this.pumpAll();
    }

    /** Tells the queue that places may have become free. */
    released(poolName: string): void {
        this.pools.get(poolName)?.noteRelease(this.options.clock.monotonicMs());
        this.pumpAll();
    }

    /** Serves waiting calls when places appear that nobody told of; returns when `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleep(POLL_MS, signal);
            this.pumpAll();
        }
    }

    private placeAtOnce<P>(pool: WaitingPool, request: PlacementRequest<P>): P | undefined {
        const isFirst = request.isAdmitted || pool.size === 0 || !pool.hasServable(this.gate);
        return isFirst ? this.tryPlace(request) : undefined;
    }

    private tryPlace<P>(request: PlacementRequest<P>): P | undefined {
        const isCounted = request.countsForAccount && !request.isAdmitted;
        if (isCounted && !this.gate.isOpen(request.caller.account, request.caller.maxConcurrentRequests)) {
            return undefined;
        }
        const place = request.place();
        if (place !== undefined && isCounted) {
            this.gate.enter(request.caller.account);
        }
        return place;
    }

    private refuseIfFull<P>(pool: WaitingPool, request: PlacementRequest<P>): PlacementOutcome<P> | undefined {
        const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, pool.estimateWaitMs(pool.size + 1));
        if (pool.waitingOf(request.caller.account) >= request.caller.maxQueuedRequests && !request.isAdmitted) {
            return { kind: "account-queue-full", retryAfterMs };
        }
        const isFull = this.waitingCalls >= this.options.maxCalls
            || this.waitingBytes + request.sizeBytes > this.options.maxBytes;
        return isFull && !request.isAdmitted ? { kind: "queue-full", retryAfterMs } : undefined;
    }

    private async wait<P>(
        pool: WaitingPool,
        request: PlacementRequest<P>,
        signal: AbortSignal,
    ): Promise<PlacementOutcome<P>> {
        const nowMs = this.options.clock.monotonicMs();
        const settled = new AbortController();
        let outcome: PlacementOutcome<P> | undefined;
        const entry = {
            account: request.caller.account,
            weight: request.caller.weight,
            request,
            settle: (place: unknown) => {
                outcome = { kind: "placed", place: place as P };
                settled.abort();
            },
        };
        const before = pool.push(entry, nowMs);
        const estimateMs = pool.estimateWaitMs(before + 1);
        if (nowMs + estimateMs > request.deadlineMs) {
            pool.remove(entry);
            return { kind: "deadline-unreachable", retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, estimateMs) };
        }
        this.waitingCalls += 1;
        this.waitingBytes += request.sizeBytes;
        const ending = await this.waitUntilEnd(request, AbortSignal.any([signal, settled.signal]));
        pool.remove(entry);
        this.waitingCalls -= 1;
        this.waitingBytes -= request.sizeBytes;
        return outcome ?? (signal.aborted ? { kind: "aborted" } : ending);
    }

    private async waitUntilEnd<P>(request: PlacementRequest<P>, signal: AbortSignal): Promise<PlacementOutcome<P>> {
        for (;;) {
            const remainingMs = request.deadlineMs - this.options.clock.monotonicMs();
            if (remainingMs <= 0) {
                return { kind: "deadline-passed" };
            }
            if (signal.aborted) {
                return { kind: "aborted" };
            }
            if (request.isHopeless()) {
                return { kind: "no-upstream", retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS };
            }
            await this.options.clock.sleep(Math.min(remainingMs, HOPE_CHECK_MS), signal);
        }
    }

    private pumpAll(): void {
        for (const [name, pool] of this.pools) {
            pool.pump(request => this.tryPlace(request));
            if (pool.isIdle(this.options.clock.monotonicMs())) {
                this.pools.delete(name);
            }
        }
    }

    private pool(name: string): WaitingPool {
        const pool = this.pools.get(name) ?? WaitingPool.create(this.options.clock.monotonicMs());
        this.pools.set(name, pool);
        return pool;
    }
}
