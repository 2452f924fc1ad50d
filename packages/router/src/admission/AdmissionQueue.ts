import type { Clock } from "@fescuehaven/runtime";
import { AccountConcurrencyLimiter } from "./AccountConcurrencyLimiter.js";
import type { AdmissionOutcome } from "./AdmissionOutcome.js";
import type { AdmissionRequest } from "./AdmissionRequest.js";
import { WaitingPool } from "./WaitingPool.js";

interface AdmissionQueueOptions {
    clock: Clock;
    maxCalls: number;
    maxBytes: number;
}

/** How often free slots are looked for, as the queue is not notified of every change. */
const POLL_INTERVAL_MS = 20;
/** How often `shouldGiveUp` is checked for each waiting call. */
const GIVE_UP_CHECK_INTERVAL_MS = 200;
/** Retry-after delay while no upstream can serve the call. */
const NO_UPSTREAM_RETRY_AFTER_MS = 1000;
/** Lower bound of the retry-after delay. */
const MIN_RETRY_AFTER_MS = 250;

/**
 * Queue of the calls that wait for a slot at an upstream. Its size is bounded, it is fair over client accounts, and it
 * refuses a call at once that cannot be served before its deadline.
 */
export class AdmissionQueue {
    private readonly pools = new Map<string, WaitingPool>();
    private readonly accountLimiter = AccountConcurrencyLimiter.create();
    private waitingCalls = 0;
    private waitingBytes = 0;

    private constructor(private readonly options: AdmissionQueueOptions) {}

    /** Creates an empty queue. */
    static create(options: AdmissionQueueOptions): AdmissionQueue {
        return new AdmissionQueue(options);
    }

    /** Number of waiting calls. */
    get size(): number {
        return this.waitingCalls;
    }

    /** Waits for a slot. When an admitted call that counts for its account ends, pass the account to `callEnded`. */
    async acquire<P>(request: AdmissionRequest<P>, signal: AbortSignal): Promise<AdmissionOutcome<P>> {
        if (signal.aborted) {
            return { kind: "aborted" };
        }
        const pool = this.pool(request.pool);
        const immediateSlot = this.tryAdmitImmediately(pool, request);
        if (immediateSlot !== undefined) {
            return { kind: "admitted", slot: immediateSlot };
        }
        const refused = this.refuseIfFull(pool, request);
        return refused ?? this.wait(pool, request, signal);
    }

    /** Ends the count of an admitted call for its account. */
    callEnded(account: string): void {
        this.accountLimiter.callEnded(account);
        this.admitWaiting();
    }

    /** Admits waiting calls after slots of the pool may have become free. */
    slotReleased(poolName: string): void {
        this.pools.get(poolName)?.recordRelease(this.options.clock.monotonicMs());
        this.admitWaiting();
    }

    /** Polls for slots that became free without a notification; returns when `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleep(POLL_INTERVAL_MS, signal);
            this.admitWaiting();
        }
    }

    private tryAdmitImmediately<P>(pool: WaitingPool, request: AdmissionRequest<P>): P | undefined {
        const isFirst = request.wasAdmitted || pool.size === 0 || !pool.hasEligible(this.accountLimiter);
        return isFirst ? this.tryAdmit(request) : undefined;
    }

    private tryAdmit<P>(request: AdmissionRequest<P>): P | undefined {
        const isCounted = request.countsForAccount && !request.wasAdmitted;
        if (
            isCounted && !this.accountLimiter.hasCapacity(request.caller.account, request.caller.maxConcurrentRequests)
        ) {
            return undefined;
        }
        const slot = request.tryAcquireSlot();
        if (slot !== undefined && isCounted) {
            this.accountLimiter.callStarted(request.caller.account);
        }
        return slot;
    }

    private refuseIfFull<P>(pool: WaitingPool, request: AdmissionRequest<P>): AdmissionOutcome<P> | undefined {
        const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, pool.estimateWaitMs(pool.size + 1));
        if (pool.countWaiting(request.caller.account) >= request.caller.maxQueuedRequests && !request.wasAdmitted) {
            return { kind: "account-queue-full", retryAfterMs };
        }
        const isFull = this.waitingCalls >= this.options.maxCalls
            || this.waitingBytes + request.sizeBytes > this.options.maxBytes;
        return isFull && !request.wasAdmitted ? { kind: "queue-full", retryAfterMs } : undefined;
    }

    private async wait<P>(
        pool: WaitingPool,
        request: AdmissionRequest<P>,
        signal: AbortSignal,
    ): Promise<AdmissionOutcome<P>> {
        const nowMs = this.options.clock.monotonicMs();
        const admitted = new AbortController();
        let outcome: AdmissionOutcome<P> | undefined;
        const entry = {
            account: request.caller.account,
            weight: request.caller.weight,
            request,
            admit: (slot: unknown) => {
                outcome = { kind: "admitted", slot: slot as P };
                admitted.abort();
            },
        };
        const callsAhead = pool.push(entry, nowMs);
        const estimateMs = pool.estimateWaitMs(callsAhead + 1);
        if (nowMs + estimateMs > request.deadlineMs) {
            pool.remove(entry);
            return { kind: "deadline-unreachable", retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, estimateMs) };
        }
        this.waitingCalls += 1;
        this.waitingBytes += request.sizeBytes;
        const waitOutcome = await this.waitUntilEnd(request, AbortSignal.any([signal, admitted.signal]));
        pool.remove(entry);
        this.waitingCalls -= 1;
        this.waitingBytes -= request.sizeBytes;
        return outcome ?? (signal.aborted ? { kind: "aborted" } : waitOutcome);
    }

    private async waitUntilEnd<P>(request: AdmissionRequest<P>, signal: AbortSignal): Promise<AdmissionOutcome<P>> {
        for (;;) {
            const remainingMs = request.deadlineMs - this.options.clock.monotonicMs();
            if (remainingMs <= 0) {
                return { kind: "deadline-passed" };
            }
            if (signal.aborted) {
                return { kind: "aborted" };
            }
            if (request.shouldGiveUp()) {
                return { kind: "no-upstream", retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS };
            }
            await this.options.clock.sleep(Math.min(remainingMs, GIVE_UP_CHECK_INTERVAL_MS), signal);
        }
    }

    private admitWaiting(): void {
        for (const [name, pool] of this.pools) {
            pool.admitWaiting(request => this.tryAdmit(request));
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
