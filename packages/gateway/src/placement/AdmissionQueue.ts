import type { Clock, Random } from "@fescuehaven/runtime";
import { SlidingWindowCounter } from "../util/SlidingWindowCounter.js";
import { WakeSignal } from "../util/WakeSignal.js";
import type { AdmissionOutcome } from "./AdmissionOutcome.js";
import type { AdmissionRequest } from "./AdmissionRequest.js";

interface AdmissionQueueOptions {
    clock: Clock;
    random: Random;
}

interface Waiter {
    request: AdmissionRequest<unknown>;
    queuedAtMs: number;
    resolve: (outcome: AdmissionOutcome<unknown>) => void;
}

interface Pool {
    waiters: Waiter[];
    /** Recent admissions, from which the pool's admission rate is estimated. */
    admitted: SlidingWindowCounter;
}

/** Interval of the check of waiting requests for slots freed without a notification, and for waits now too long. */
const SWEEP_INTERVAL_MS = 25;
/** Period over which a pool's admission rate is estimated. */
const ADMISSION_RATE_WINDOW_MS = 2000;
/** Shortest retry-after delay: a caller that returns sooner would find the same state again. */
const MIN_RETRY_AFTER_MS = 300;
/** Longest retry-after delay because of other requests: callers retry within a third of their time, or not at all. */
const MAX_RETRY_AFTER_MS = 2000;
/** Largest random addition, as a fraction of the delay, so that callers refused together don't return together. */
const RETRY_AFTER_JITTER = 0.5;

/**
 * Queue of requests that wait for a slot, during bursts that exceed the slots and while groups are re-formed.
 * Requests that can still be on time are admitted before those that are already late. A request that is not expected to
 * get a slot in time is refused at once, with a randomized retry-after delay.
 */
export class AdmissionQueue {
    private readonly pools = new Map<string, Pool>();
    private readonly wakeSignal = WakeSignal.create();

    private constructor(private readonly options: AdmissionQueueOptions) {}

    /** Creates an empty queue. */
    static create(options: AdmissionQueueOptions): AdmissionQueue {
        return new AdmissionQueue(options);
    }

    /** Returns the number of waiting requests by pool. */
    waiting(): Array<[string, number]> {
        return [...this.pools].map(([name, pool]) => [name, pool.waiters.length]);
    }

    /** Takes a slot or waits for one. `signal` ends the wait as aborted. */
    acquire<Slot>(request: AdmissionRequest<Slot>, signal: AbortSignal): Promise<AdmissionOutcome<Slot>> {
        const pool = this.pool(request.pool);
        if (signal.aborted) {
            return Promise.resolve({ kind: "aborted" });
        }
        if (!pool.waiters.some(waiter => waiter.request.priority <= request.priority)) {
            const slot = request.tryAcquireSlot();
            if (slot !== undefined) {
                pool.admitted.record();
                return Promise.resolve({ kind: "admitted", slot, waitedMs: 0 });
            }
        }
        const ahead = pool.waiters.filter(waiter => waiter.request.priority <= request.priority).length;
        const refusal = this.refusal(pool, request, ahead);
        return refusal ? Promise.resolve(refusal) : this.wait(pool, request, signal);
    }

    /** Admits waiting requests for which there are slots. Called when a request has ended or upstreams have changed. */
    admitWaiting(): void {
        for (const pool of this.pools.values()) {
            this.admitWaitingIn(pool);
        }
    }

    /** Checks waiting requests until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (!this.hasWaiters) {
                await this.wakeSignal.wait(signal);
            }
            await this.options.clock.sleep(SWEEP_INTERVAL_MS, signal);
            this.admitWaiting();
        }
    }

    private get hasWaiters(): boolean {
        return [...this.pools.values()].some(pool => pool.waiters.length > 0);
    }

    private wait<Slot>(
        pool: Pool,
        request: AdmissionRequest<Slot>,
        signal: AbortSignal,
    ): Promise<AdmissionOutcome<Slot>> {
        return new Promise(resolve => {
            const abort = () => waiter.resolve({ kind: "aborted" });
            const waiter: Waiter = {
                request,
                queuedAtMs: this.options.clock.monotonicMs(),
                resolve: outcome => {
                    signal.removeEventListener("abort", abort);
                    pool.waiters = pool.waiters.filter(other => other !== waiter);
                    resolve(outcome as AdmissionOutcome<Slot>);
                },
            };
            signal.addEventListener("abort", abort, { once: true });
            pool.waiters.push(waiter);
            this.wakeSignal.notify();
        });
    }

    private admitWaitingIn(pool: Pool): void {
        const nowMs = this.options.clock.monotonicMs();
        const ordered = [...pool.waiters].sort((left, right) =>
            latenessOf(left, nowMs) - latenessOf(right, nowMs)
            || left.request.priority - right.request.priority || left.queuedAtMs - right.queuedAtMs
        );
        let ahead = 0;
        for (const waiter of ordered) {
            const slot = waiter.request.tryAcquireSlot();
            if (slot !== undefined) {
                pool.admitted.record();
                waiter.resolve({ kind: "admitted", slot, waitedMs: nowMs - waiter.queuedAtMs });
                continue;
            }
            const refusal = this.refusal(pool, waiter.request, ahead);
            if (refusal) {
                waiter.resolve(refusal);
                continue;
            }
            ahead += 1;
        }
    }

    private refusal(
        pool: Pool,
        request: AdmissionRequest<unknown>,
        ahead: number,
    ): (AdmissionOutcome<never> & { kind: "refused"; }) | undefined {
        const nowMs = this.options.clock.monotonicMs();
        const expectedWaitMs = request.expectedWaitMs();
        const waitMs = expectedWaitMs + this.queueDelayMs(pool, ahead);
        if (nowMs + waitMs <= request.usefulUntilMs) {
            return undefined;
        }
        // A caller that returns before an upstream accepts requests at all would be refused again.
        const acceptedInMs = expectedWaitMs === Infinity ? 0 : expectedWaitMs;
        const delayMs = Math.max(MIN_RETRY_AFTER_MS, acceptedInMs, Math.min(MAX_RETRY_AFTER_MS, waitMs));
        const jitterMs = delayMs * RETRY_AFTER_JITTER * this.options.random.next();
        const reason = expectedWaitMs === Infinity ? "nothing serves the request now" : "no place in time";
        return { kind: "refused", retryAfterMs: delayMs + jitterMs, reason };
    }

    /** Returns the expected time until the requests ahead have been admitted at the pool's recent rate. */
    private queueDelayMs(pool: Pool, ahead: number): number {
        const admissionsPerMs = Math.max(pool.admitted.count, 1) / ADMISSION_RATE_WINDOW_MS;
        return ahead / admissionsPerMs;
    }

    private pool(name: string): Pool {
        return this.pools.get(name) ?? this.addPool(name);
    }

    /** Adds a pool and removes unused ones: callers choose the names of models. */
    private addPool(name: string): Pool {
        this.pools.forEach(({ waiters, admitted }, other) =>
            waiters.length === 0 && admitted.count === 0 && this.pools.delete(other)
        );
        const pool = {
            waiters: [],
            admitted: SlidingWindowCounter.create(this.options.clock, ADMISSION_RATE_WINDOW_MS),
        };
        this.pools.set(name, pool);
        return pool;
    }
}

/** Returns 0 for a request that can still be on time and 1 for a late one, as the sort key of the queue. */
function latenessOf(waiter: Waiter, nowMs: number): number {
    return nowMs <= waiter.request.onTimeUntilMs ? 0 : 1;
}
